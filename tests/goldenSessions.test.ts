import { v7 as uuid } from "uuid";
import {
    apiKey,
    type Deployment,
    type DeploymentPlan,
    getJson,
    postJson,
    readStateDump,
    requestCompletion,
    startDeployment,
} from "./support/deployment.js";
import { describeExchange, expectGolden } from "./support/golden.js";
import { killAllPrograms } from "./support/processes.js";

const oneGroup = (ranks: number, engineOptions: string[] = []): DeploymentPlan => ({
    entries: [{ host: "entry-1", availabilityZone: "medina" }],
    groups: [{ group: "council", availabilityZone: "medina", ranks, engineOptions }],
    recordsAttempts: true,
});

const oneService = (agents: number): DeploymentPlan => ({
    entries: [{ host: "entry-1", availabilityZone: "medina" }],
    services: [{ service: "dispatch", availabilityZone: "medina", agents }],
    recordsAttempts: true,
});

describe("golden sessions", () => {
    let deployment: Deployment;

    afterEach(async () => {
        await deployment.stop();
        killAllPrograms();
    });

    /**
     * Waits until `stream` has `count` records and returns them; some are appended only after the response was sent.
     */
    const logRecords = async (stream: string, count: number): Promise<string[]> => {
        const url = `${deployment.platform.url}/log/${encodeURIComponent(stream)}/records`;
        await getJson(`${url}?from=${count - 1}&limit=1&waitMilliseconds=15000`);
        const { records } = await getJson<{ records: unknown[]; }>(`${url}?from=0&limit=100`);
        return records.map(record => `log ${stream} ${JSON.stringify(record)}`);
    };

    const exchanges = (): string[] => deployment.exchanges.flatMap(describeExchange);

    const streamCompletion = async (
        prompt: string,
        tokens: number,
        onText?: (text: string) => void,
    ): Promise<string[]> => {
        const { status, outcome, raw } = await requestCompletion(deployment.entries[0]!, prompt, tokens, onText);
        return [
            `caller → POST /v1/completions "${prompt}", ${tokens} tokens`,
            `caller ← status ${status}${outcome === undefined ? "" : `, outcome ${outcome}`}`,
            ...raw.split("\n").filter(line => line !== "").map(line => `caller ← ${line}`),
        ];
    };

    const callDispatchService = async (key: string, body: string): Promise<string[]> => {
        const response = await fetch(`http://${deployment.entries[0]!.address}/services/dispatch/pallets`, {
            method: "POST",
            headers: { "authorization": `Bearer ${apiKey}`, "idempotency-key": key },
            body,
        });
        const outcome = response.headers.get("cyclamengap-outcome") ?? "none";
        return [
            `caller → POST /services/dispatch/pallets key ${key} ${body}`,
            `caller ← status ${response.status}, outcome ${outcome} ${await response.text()}`,
        ];
    };

    it("a streamed response", async () => {
        deployment = await startDeployment(oneGroup(1));
        const caller = await streamCompletion("Summarise the budget", 4);
        expectGolden("streamedAnswer", [...caller, ...exchanges()]);
    });

    it("a refusal that says not-run", async () => {
        deployment = await startDeployment(oneGroup(1));
        const response = await fetch(`http://${deployment.entries[0]!.address}/v1/completions`, {
            method: "POST",
            headers: { authorization: `Bearer ${apiKey}` },
            body: JSON.stringify({ model: "unknown", prompt: "a", max_tokens: 1 }),
        });
        const outcome = response.headers.get("cyclamengap-outcome") ?? "none";
        expectGolden("refusal", [
            `caller → POST /v1/completions model "unknown"`,
            `caller ← status ${response.status}, outcome ${outcome} ${await response.text()}`,
            ...exchanges(),
        ]);
    });

    it("a stream that the engine cuts and another rank resumes", async () => {
        deployment = await startDeployment(oneGroup(2, ["--starts-warm"]));
        for (const [rank, address] of deployment.engines.get("council")!.addresses.entries()) {
            await postJson(`http://${address}/faults`, { rank, cutStreamAfterTokens: 3 });
        }
        const caller = await streamCompletion("Explain the zoning", 5);
        expectGolden("cutAndResumedStream", [...caller, ...exchanges()]);
    });

    it("a dispatch whose append response is lost, retried by its caller", async () => {
        deployment = await startDeployment(oneService(2));
        const key = uuid();
        await postJson(`${deployment.platform.url}/faults`, { log: { loseAnswers: 1 } });
        const first = await callDispatchService(key, `{"pallets":2}`);
        const second = await callDispatchService(key, `{"pallets":2}`);
        const runs = await getJson<unknown[]>(`http://${deployment.services.get("dispatch")!.address}/_runs`);
        const claims = await logRecords("claims/dispatch", 2);
        expectGolden("dispatchAndResend", [...first, ...second, ...claims, `service runs ${runs.length}`]);
    });

    it("a request that crashes upstreams, and its retry", async () => {
        deployment = await startDeployment(oneGroup(3, ["--starts-warm"]));
        const first = await streamCompletion("crash-upstream", 4);
        const exchangesUntilConviction = exchanges();
        // Any of the agents may refuse the second request, so its name is left out.
        const second = await streamCompletion("crash-upstream", 4);
        const refusedExchange = deployment.exchanges.at(-1)!;
        expectGolden("quarantine", [
            ...first,
            ...exchangesUntilConviction,
            ...second,
            ...describeExchange({ ...refusedExchange, host: "(any)" }),
            ...await logRecords("quarantine", 3),
        ]);
    });

    it("the first expert map of a group", async () => {
        const mapOptions = ["--expert-maps", "--layers", "1", "--experts", "4", "--starts-warm", "--checks-fence"];
        const settings = { layers: 1, expertsPerLayer: 4, slotsPerRank: 3, expertMaps: true };
        deployment = await startDeployment({
            entries: [],
            groups: [{ group: "council", availabilityZone: "medina", ranks: 2, engineOptions: mapOptions, settings }],
            recordsAttempts: true,
        });
        const [engine] = deployment.engines.get("council")!.addresses;
        let maps: number[] = [];
        while (!maps.some(map => map >= 0)) {
            const { steps } = await getJson<{ steps: { map: number; }[]; }>(`http://${engine}/record`);
            maps = [...new Set(steps.map(({ map }) => map))];
        }
        expectGolden("mapSwitch", [...await logRecords("groups/council", 2), `maps of all steps: ${maps.join(", ")}`]);
    });

    it("two operators whose changes conflict", async () => {
        deployment = await startDeployment(oneGroup(1));
        const path = "clientAccounts/portal";
        const conflictingChanges = ["first", "second"].map(author => ({
            kind: "change",
            id: uuid(),
            author,
            comment: "",
            edits: [{ path, base: 0, value: { priority: author === "first" ? "batch" : "standard" } }],
        }));
        for (const change of conflictingChanges) {
            await postJson(`${deployment.platform.url}/log/settings/records`, change);
        }
        await deployment.waitForSettings(2);
        const { settings } = await readStateDump(deployment.entries[0]!) as unknown as {
            settings: Record<string, unknown>;
        };
        const { offset, accepted, conflicts } = settings;
        expectGolden("settingsConflict", [
            ...await logRecords("settings", 3),
            `entry settings ${JSON.stringify({ offset, accepted, conflicts })}`,
        ]);
    });

    it("an availability zone taken out of service and back in", async () => {
        deployment = await startDeployment({
            entries: [{ host: "entry-1", availabilityZone: "medina" }],
            groups: [{ group: "council", availabilityZone: "medina", ranks: 1 }],
            recordsAttempts: true,
        });
        const before = await streamCompletion("before", 1);
        await deployment.waitForSettings(
            await deployment.changeSettings({ "availabilityZones/medina": { state: "out" } }),
        );
        const during = await streamCompletion("during", 1);
        await deployment.waitForSettings(
            await deployment.changeSettings({ "availabilityZones/medina": { state: "in" } }),
        );
        const after = await streamCompletion("after", 1);
        expectGolden("zoneOutAndIn", [
            ...before,
            ...during,
            ...after,
            ...exchanges(),
            ...await logRecords("settings", 3),
        ]);
    });

    it("a graceful stop of the entry during a response", async () => {
        deployment = await startDeployment(oneGroup(1));
        const entry = deployment.entries[0]!;
        let stopped = false;
        const caller = await streamCompletion("Draft a notice", 6, () => {
            if (!stopped) {
                stopped = true;
                entry.program.sendSignal("SIGTERM");
            }
        });
        await entry.program.waitForEvent("stopping");
        const status = await entry.program.exited;
        expectGolden("plannedStop", [...caller, ...exchanges(), `entry exits with status ${status}`]);
    });

    it("a graceful stop of an agent neither moves nor truncates running work", async () => {
        deployment = await startDeployment(oneGroup(2, ["--starts-warm"]));
        let stopped = false;
        const caller = await streamCompletion("Draft a notice", 6, () => {
            if (!stopped) {
                stopped = true;
                const host = deployment.exchanges[0]!.host;
                deployment.agents.get(host)!.program.sendSignal("SIGTERM");
            }
        });
        const host = deployment.exchanges[0]!.host;
        await deployment.agents.get(host)!.program.exited;
        expectGolden("plannedStopOfAgent", [...caller, ...exchanges()]);
    });
});
