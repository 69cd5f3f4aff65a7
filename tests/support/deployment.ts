/**
 * Starts a small deployment as separate processes: the platform, engines, plain services, agents and entries.
 */
import { createHash, randomUUID } from "node:crypto";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { type Program, startProgram, testTokens } from "./processes.js";
import { type Exchange, type Recorder, startRecorder } from "./recorder.js";

export const apiKey = "portal-key";
export const apiKeyDigest = createHash("sha256").update(apiKey).digest("hex");

export type Daemon = { program: Program; address: string; control: string; host: string; };

export type GroupPlan = {
    group: string;
    availabilityZone: string;
    ranks: number;
    /** Additional command-line options of the engine stand-in. */
    engineOptions?: string[];
    settings?: Record<string, unknown>;
};

export type ServicePlan = {
    service: string;
    availabilityZone: string;
    agents: number;
    settings?: Record<string, unknown>;
};

export type DeploymentPlan = {
    entries: { host: string; availabilityZone: string; }[];
    groups?: GroupPlan[];
    services?: ServicePlan[];
    clientAccount?: Record<string, unknown>;
    /** Whether a recorder proxies the requests to each agent. */
    recordsAttempts?: boolean;
};

export type Deployment = {
    platform: { program: Program; url: string; };
    engines: Map<string, { program: Program; addresses: string[]; }>;
    services: Map<string, { program: Program; address: string; }>;
    agents: Map<string, Daemon>;
    entries: Daemon[];
    /** Attempts captured by the recorders. */
    exchanges: Exchange[];
    /** Appends a settings change based on the last known offset of each path; returns the offset of the change. */
    changeSettings: (nodes: Record<string, Record<string, unknown>>) => Promise<number>;
    /** Resolves when all `daemons`, by default every agent and entry, have applied the settings up to `offset`. */
    waitForSettings: (offset: number, daemons?: Daemon[]) => Promise<void>;
    startAgent: (host: string) => Promise<Daemon>;
    startEntry: (host: string, availabilityZone: string, seeds?: string[]) => Promise<Daemon>;
    stop: () => Promise<void>;
};

const configurationDirectory = mkdtempSync(join(tmpdir(), "deployment-"));

const writeConfiguration = (config: unknown): string => {
    const file = join(configurationDirectory, `${randomUUID()}.jsonc`);
    writeFileSync(file, JSON.stringify(config));
    return file;
};

export const postJson = async (url: string, body: unknown, method = "POST"): Promise<Response> =>
    fetch(url, { method, headers: { "content-type": "application/json" }, body: JSON.stringify(body) });

export const getJson = async <Value>(url: string): Promise<Value> => (await fetch(url)).json() as Promise<Value>;

/** Reads the state dump from the daemon's control address. */
export const readStateDump = async ({ control }: Daemon): Promise<Record<string, never>> => {
    const headers = { authorization: `Bearer ${testTokens.CYCLAMENGAP_OPERATOR_TOKEN}` };
    return (await fetch(`http://${control}/state`, { headers })).json() as Promise<Record<string, never>>;
};

const startStandin = async (
    parameters: string[],
): Promise<{ program: Program; address: string; addresses: string[]; }> => {
    const program = startProgram("standin", parameters);
    const { address, addresses } = await program.waitForEvent("listening");
    return { program, address, addresses };
};

/** Starts the deployment and waits until every entry has applied the settings and listed all hosts. */
export const startDeployment = async (plan: DeploymentPlan): Promise<Deployment> => {
    const platform = await startStandin(["platform", "--listen", "127.0.0.1:0"]);
    const url = `http://${platform.address}`;
    const offsets = new Map<string, number>();
    const recorders: Recorder[] = [];
    const agentConfigs = new Map<string, Record<string, unknown>>();
    const deployment: Deployment = {
        platform: { program: platform.program, url },
        engines: new Map(),
        services: new Map(),
        agents: new Map(),
        entries: [],
        exchanges: [],
        changeSettings: async nodes => {
            const edits = Object.entries(nodes).map(([path, value]) => ({
                path,
                base: offsets.get(path) ?? -1,
                value,
            }));
            const change = { kind: "change", id: randomUUID(), author: "test", comment: "", edits };
            const { offset } = await (await postJson(`${url}/log/settings/records`, change)).json() as {
                offset: number;
            };
            edits.forEach(({ path }) => offsets.set(path, offset));
            return offset;
        },
        waitForSettings: async (offset, daemons = [...deployment.agents.values(), ...deployment.entries]) => {
            for (const daemon of daemons) {
                await daemon.program.waitForEvent(event =>
                    event.event === "settings in force" && Number(event["offset"]) >= offset
                );
            }
        },
        startAgent: async host => {
            const config = agentConfigs.get(host) ?? {};
            const program = startProgram("agent", ["--config", writeConfiguration(config)]);
            const { address } = await program.waitForEvent("listening");
            const daemon = { program, address, control: address, host };
            deployment.agents.set(host, daemon);
            const recorder = plan.recordsAttempts
                ? await startRecorder(host, address, deployment.exchanges)
                : undefined;
            recorders.push(...recorder === undefined ? [] : [recorder]);
            await postJson(`${url}/hosts/${host}`, {
                host,
                availabilityZone: config["availabilityZone"],
                role: "upstream",
                state: "live",
                address: recorder?.address ?? address,
                serves: servedUpstreamOf(config["upstream"] as Record<string, unknown>),
            }, "PUT");
            return daemon;
        },
        startEntry: async (host, availabilityZone, seeds = []) => {
            const listeners = { listen: "127.0.0.1:0", control: "127.0.0.1:0" };
            const config = { host, availabilityZone, platform: url, seeds, logLevel: "debug", ...listeners };
            const program = startProgram("entry", ["--config", writeConfiguration(config)]);
            const { address, control } = await program.waitForEvent("listening");
            await postJson(`${url}/hosts/${host}`, {
                host,
                availabilityZone,
                role: "entry",
                state: "live",
                address: control,
            }, "PUT");
            return { program, address, control, host };
        },
        stop: async () => {
            const programs = [
                platform.program,
                ...[...deployment.engines.values(), ...deployment.services.values(), ...deployment.agents.values()]
                    .map(({ program }) => program),
                ...deployment.entries.map(({ program }) => program),
            ];
            await Promise.all(programs.map(program => program.kill()));
            recorders.forEach(recorder => recorder.close());
        },
    };

    const nodes: Record<string, Record<string, unknown>> = {
        "clientAccounts/portal": { apiKeyDigests: [apiKeyDigest], priority: "interactive", ...plan.clientAccount },
    };
    for (const { group, availabilityZone, ranks, engineOptions = [], settings } of plan.groups ?? []) {
        const { program, addresses } = await startStandin(["engine", "--ranks", String(ranks), ...engineOptions]);
        deployment.engines.set(group, { program, addresses });
        nodes[`groups/${group}`] = { model: "council", ranks, ...settings };
        addresses.forEach((address, rank) => {
            const host = `${group}-${rank}`;
            const upstream = { kind: "group", group, rank, address };
            agentConfigs.set(host, { host, availabilityZone, platform: url, listen: "127.0.0.1:0", upstream });
        });
    }
    for (const { service, availabilityZone, agents, settings } of plan.services ?? []) {
        const { program, address } = await startStandin(["service"]);
        deployment.services.set(service, { program, address });
        nodes[`services/${service}`] = { ...settings };
        for (let index = 0; index < agents; index++) {
            const host = `${service}-${index}`;
            const upstream = { kind: "service", service, address };
            agentConfigs.set(host, { host, availabilityZone, platform: url, listen: "127.0.0.1:0", upstream });
        }
    }
    const offset = await deployment.changeSettings(nodes);
    await Promise.all([...agentConfigs.keys()].map(host => deployment.startAgent(host)));
    const started = plan.entries.map(({ host, availabilityZone }) => deployment.startEntry(host, availabilityZone));
    deployment.entries.push(...await Promise.all(started));
    await deployment.waitForSettings(offset);
    const hostCount = agentConfigs.size + plan.entries.length;
    for (const entry of deployment.entries) {
        await entry.program.waitForEvent(event => event.event === "host list" && Number(event["hosts"]) >= hostCount);
    }
    return deployment;
};

const servedUpstreamOf = ({ kind, group, rank, service }: Record<string, unknown>): Record<string, unknown> =>
    kind === "group" ? { kind, group, rank } : { kind, service };

/**
 * Sends a streaming completion request and passes each chunk to `onText` as it arrives. `text` is the generated text,
 * `raw` the whole event stream; `isComplete` tells whether the stream contained `[DONE]`.
 */
export const requestCompletion = async (
    entry: Daemon,
    prompt: string,
    maximumTokens: number,
    onText: (text: string) => void = () => undefined,
): Promise<{ status: number; text: string; isComplete: boolean; raw: string; outcome: string | undefined; }> => {
    const response = await fetch(`http://${entry.address}/v1/completions`, {
        method: "POST",
        headers: { "content-type": "application/json", "authorization": `Bearer ${apiKey}` },
        body: JSON.stringify({ model: "council", prompt, max_tokens: maximumTokens, stream: true }),
    });
    const outcome = response.headers.get("cyclamengap-outcome") ?? undefined;
    let raw = "";
    const decoder = new TextDecoder();
    for await (const chunk of response.body as unknown as AsyncIterable<Uint8Array>) {
        const text = decoder.decode(chunk, { stream: true });
        raw += text;
        onText(text);
    }
    const textParts = raw.split("\n")
        .filter(line => line.startsWith(`data: {"id"`))
        .map(line => JSON.parse(line.slice("data: ".length)) as { choices: { text: string; }[]; })
        .map(({ choices }) => choices[0]?.text ?? "");
    return {
        status: response.status,
        text: textParts.join(""),
        isComplete: raw.includes("data: [DONE]"),
        raw,
        outcome,
    };
};
