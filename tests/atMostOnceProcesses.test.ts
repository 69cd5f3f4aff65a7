/**
 * Non-idempotent calls through real entry and agent processes that are killed, paused or cut off from the log.
 *
 * Outcomes are checked against the record of runs that the service keeps.
 */
import { expect } from "chai";
import { v7 as uuid } from "uuid";
import type { ClaimEntry } from "../src/state/claimStateMachine.js";
import {
    apiKey,
    type Daemon,
    type Deployment,
    getJson,
    postJson,
    readStateDump,
    startDeployment,
} from "./support/deployment.js";
import { killAllPrograms } from "./support/processes.js";

/** Polls until `probe` holds, since the processes do not signal any of the awaited conditions. */
const pollUntil = async (probe: () => Promise<boolean>): Promise<void> => {
    while (!await probe()) {
        await new Promise(resolve => setImmediate(resolve));
    }
};

type Answer = { status: number; outcome: string | null; code?: string; receipt?: number; };

type Batch = { agent: string; entries: ClaimEntry[]; };

const callMilliseconds = 4_000;

describe("at most once, as separate processes", () => {
    let deployment: Deployment;

    before(async () => {
        deployment = await startDeployment({
            entries: [{ host: "entry-1", availabilityZone: "medina" }, { host: "entry-2", availabilityZone: "medina" }],
            services: [{ service: "dispatch", availabilityZone: "medina", agents: 2 }],
        });
        await waitUntilServing();
    });

    afterEach(() => postJson(`${service()}/_faults`, { answerDelayMilliseconds: 0 }));

    after(async () => {
        await deployment.stop();
        killAllPrograms();
    });

    const send = async (entry: number, key: string, milliseconds = callMilliseconds): Promise<Answer> => {
        const response = await fetch(`http://${deployment.entries[entry]!.address}/services/dispatch/pallets`, {
            method: "POST",
            headers: {
                "authorization": `Bearer ${apiKey}`,
                "idempotency-key": key,
                "cyclamengap-timeout-milliseconds": String(milliseconds),
            },
            body: `{"pallets":2}`,
        });
        const body = await response.json() as { error?: { code: string; }; receipt?: number; };
        const outcome = response.headers.get("cyclamengap-outcome");
        return {
            status: response.status,
            outcome,
            ...(body.error === undefined ? {} : { code: body.error.code }),
            ...(body.receipt === undefined ? {} : { receipt: body.receipt }),
        };
    };

    /** Waits until both agents have read the claims and accept calls. */
    const waitUntilServing = (): Promise<void> =>
        pollUntil(async () => {
            const answers = await Promise.all(Array.from({ length: 8 }, (unused, index) => send(index % 2, uuid())));
            return answers.every(({ outcome }) => outcome === "complete");
        });

    const service = (): string => `http://${deployment.services.get("dispatch")!.address}`;

    const runsOf = async (key: string): Promise<number> => {
        const runs = await getJson<{ idempotencyKey?: string; }[]>(`${service()}/_runs`);
        return runs.filter(({ idempotencyKey }) => idempotencyKey === key).length;
    };

    const setLogFaults = (log: Record<string, unknown>): Promise<Response> =>
        postJson(`${deployment.platform.url}/faults`, { log });

    /**
     * Returns the agent of the first entry in the claims stream that satisfies `matches`, waiting for one to appear.
     */
    const agentOf = async (matches: (entry: ClaimEntry) => boolean): Promise<string> => {
        const url = `${deployment.platform.url}/log/${encodeURIComponent("claims/dispatch")}/inspect`;
        let found: Batch | undefined;
        await pollUntil(async () => {
            const { records } = await getJson<{ records: { body: Batch; }[]; }>(url);
            found = records.map(({ body }) => body).find(({ entries }) => entries.some(matches));
            return found !== undefined;
        });
        return found!.agent.split("/")[0]!;
    };

    /** Waits until the agents but `dead` have read every claim that the log holds now, and the second entry uses them. */
    const waitUntilClaimsRead = async (dead: Daemon): Promise<void> => {
        const url = `${deployment.platform.url}/log/${encodeURIComponent("claims/dispatch")}/inspect`;
        const { nextOffset } = await getJson<{ nextOffset: number; }>(url);
        await pollUntil(async () => {
            const living = [...deployment.agents.values()].filter(agent => agent !== dead);
            const dumps = await Promise.all(living.map(readStateDump));
            return dumps.every(({ claims }) => (claims as unknown as { nextOffset: number; }).nextOffset >= nextOffset);
        });
        await pollUntil(async () => (await send(1, uuid())).outcome === "complete");
    };

    const isEntryOf = (kind: ClaimEntry["kind"], key: string) => (entry: ClaimEntry): boolean =>
        entry.kind === kind && entry.key === key;

    const agentNamed = (host: string): Daemon => deployment.agents.get(host)!;

    /** Sends `key`, and stops the agent that claimed it before the agent has read its claim back. */
    const stopBetweenClaimAndRun = async (
        key: string,
        milliseconds: number,
    ): Promise<{ first: Promise<Answer>; holder: Daemon; }> => {
        await setLogFaults({ readDelayMilliseconds: 1_000 });
        const first = send(0, key, milliseconds);
        const holder = agentNamed(await agentOf(isEntryOf("claim", key)));
        const agents = [...deployment.agents.values()];
        agents.forEach(agent => agent.program.sendSignal("SIGSTOP"));
        await setLogFaults({ readDelayMilliseconds: 0 });
        agents.filter(agent => agent !== holder).forEach(agent => agent.program.sendSignal("SIGCONT"));
        return { first, holder };
    };

    it("runs a key once that two entries send to two agents at once", async () => {
        const keys = Array.from({ length: 40 }, () => uuid());
        const answers = await Promise.all(keys.map(key => Promise.all([send(0, key), send(1, key)])));
        for (const [index, [first, second]] of answers.entries()) {
            expect([first.outcome, second.outcome]).to.deep.equal(["complete", "complete"]);
            expect(first.receipt).to.equal(second.receipt);
            expect(await runsOf(keys[index]!)).to.equal(1);
        }
    });

    it("settles a lost answer of the log and runs the call once", async () => {
        await setLogFaults({ loseAnswers: 1 });
        const key = uuid();
        expect((await send(0, key)).outcome).to.equal("complete");
        expect((await send(1, key)).outcome).to.equal("complete");
        expect(await runsOf(key)).to.equal(1);
    });

    it("refuses while the log is down, and runs the same key when it is back", async () => {
        await setLogFaults({ outage: true });
        const key = uuid();
        expect(await send(0, key)).to.include({ outcome: "not-run", code: "log-unavailable" });
        expect(await runsOf(key)).to.equal(0);
        await setLogFaults({ outage: false });
        await pollUntil(async () => (await send(1, key)).outcome === "complete");
        expect(await runsOf(key)).to.equal(1);
        await waitUntilServing();
    });

    it("replays an answer that the service gave while the log was down", async () => {
        await postJson(`${service()}/_faults`, { answerDelayMilliseconds: 300 });
        const key = uuid();
        const first = send(0, key);
        await pollUntil(async () => await runsOf(key) === 1);
        await setLogFaults({ outage: true });
        expect((await first).outcome).to.equal("complete");
        await setLogFaults({ outage: false });
        await agentOf(isEntryOf("result", key));
        expect(await send(1, key)).to.deep.equal(await first);
        expect(await runsOf(key)).to.equal(1);
        await postJson(`${service()}/_faults`, { answerDelayMilliseconds: 0 });
    });

    it("says unknown, and never runs the key, when the agent dies between its claim and its run", async () => {
        const key = uuid();
        const { first, holder } = await stopBetweenClaimAndRun(key, 1_500);
        await holder.program.kill();
        expect((await first).outcome).to.equal("unknown");
        await waitUntilClaimsRead(holder);
        expect(await send(1, key, 500)).to.include({ outcome: "unknown" });
        expect(await runsOf(key)).to.equal(0);
        await deployment.startAgent(holder.host);
    });

    it("says unknown, and does not run again, when the agent dies between the run and its answer", async () => {
        await waitUntilServing();
        await postJson(`${service()}/_faults`, { answerDelayMilliseconds: 60_000 });
        const key = uuid();
        const first = send(0, key, 1_500);
        // If the answer arrived before the run, the wait for the run would never end, so the test fails with that
        // answer.
        const prematureAnswer = first.then(answer => expect.fail(`answered before its run: ${JSON.stringify(answer)}`));
        await Promise.race([pollUntil(async () => await runsOf(key) === 1), prematureAnswer]);
        prematureAnswer.catch(() => undefined);
        const holder = agentNamed(await agentOf(isEntryOf("claim", key)));
        await holder.program.kill();
        expect((await first).outcome).to.equal("unknown");
        await postJson(`${service()}/_faults`, { answerDelayMilliseconds: 0 });
        await waitUntilClaimsRead(holder);
        expect(await send(1, key, 500)).to.include({ outcome: "unknown" });
        expect(await runsOf(key)).to.equal(1);
        await deployment.startAgent(holder.host);
    });

    it("runs nothing when an agent wakes after its request has ended", async () => {
        await waitUntilServing();
        const key = uuid();
        const { first, holder: paused } = await stopBetweenClaimAndRun(key, 1_500);
        expect((await first).outcome).to.equal("unknown");
        paused.program.sendSignal("SIGCONT");
        expect(await agentOf(isEntryOf("release", key))).to.equal(paused.host);
        expect(await runsOf(key)).to.equal(0);
        await pollUntil(async () => (await send(1, key)).outcome === "complete");
        expect(await runsOf(key)).to.equal(1);
    });

    it("refuses a resend whose claim retention has dropped", async () => {
        const key = uuid();
        expect((await send(0, key)).outcome).to.equal("complete");
        await agentOf(isEntryOf("result", key));
        await setLogFaults({ retentionRecords: 1 });
        expect((await send(0, uuid())).outcome).to.equal("complete");
        const hosts = [...deployment.agents.keys()];
        await Promise.all(hosts.map(host => agentNamed(host).program.kill()));
        await Promise.all(hosts.map(host => deployment.startAgent(host)));
        await pollUntil(async () => (await send(1, key)).code === "expired-idempotency-key");
        expect(await runsOf(key)).to.equal(1);
    });
}).timeout(60_000);
