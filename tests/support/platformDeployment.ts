/**
 * Starts entries with stand-ins of the users' platform, and a client that uses the platform's protocol.
 */
import { expect } from "chai";
import { type Agent, request as startRequest } from "node:http";
import { createCrashEvidenceStore } from "../../platform/crashRecords.js";
import { platformEngines } from "../../platform/engineClient.js";
import { createMemberList } from "../../platform/memberRecords.js";
import { headerNames, paths, topics } from "../../platform/names.js";
import { createRecordSource } from "../../platform/recordSource.js";
import { platformHeaderAdapter } from "../../platform/requestHeaders.js";
import { createStoreClient } from "../../platform/storeClient.js";
import { decodeDeploymentRecord } from "../../platform/storeRecords.js";
import type { RecordSource } from "../../src/coordination/ingress/recordSource.js";
import { type KeyedStore, startKeyedStore } from "../../src/standin/keyedStore.js";
import type { SealedServer } from "../../src/standin/sealedServer.js";
import type { LogLine } from "../../src/state/ingressTypes.js";
import { type IngressDaemon, startIngress } from "../../src/transport/ingress/ingressDaemon.js";
import type { Logger } from "../../src/transport/logger.js";

export type CallerAnswer = {
    status: number;
    headers: Record<string, string | string[] | undefined>;
    body: string;
    /** Whether the response body was received completely according to its HTTP framing. */
    isComplete: boolean;
};

export type PlatformDeployment = {
    store: KeyedStore;
    /** The first entry. */
    entry: IngressDaemon;
    /** Of all entries. */
    logLines: LogLine[];
    /** Ends all entries at once, without notice, and starts as many anew. */
    restartEntries: () => Promise<void>;
    /** Publishes a server in the platform's list of upstreams. */
    listUpstream: (server: Pick<SealedServer, "id" | "address">, service: string, fields?: object) => void;
    configure: (version: number, changes?: object) => void;
    call: (path: string, options?: CallOptions) => Promise<CallerAnswer>;
    /** Polls until `condition` holds. */
    waitUntil: (condition: () => boolean | Promise<boolean>) => Promise<void>;
    stop: () => Promise<void>;
};

export type CallOptions = {
    method?: string;
    body?: string;
    apiKey?: string;
    tokenUsage?: string;
    timeoutMilliseconds?: number;
    requestId?: string;
    headers?: Record<string, string>;
    /** Index of the entry that receives the call; the first by default. */
    entry?: number;
    /** Connection pool for several calls; without one, each call opens its own connection. */
    agent?: Agent;
    /** Closes the connection once this many characters of the response body were received. */
    disconnectAfterCharacters?: number;
};

const host = "portal.example";
export const validApiKey = "key-of-the-council";

const route = (pathPrefix: string, kind: string, service: string, fields: object = {}): object => ({
    name: `route${pathPrefix}`,
    host,
    pathPrefix,
    kind,
    service,
    timeoutMs: 2_000,
    goalMs: 400,
    priority: 1,
    attempts: 2,
    public: false,
    ...fields,
});

export const standardConfiguration = (version: number, changes: object = {}): object => ({
    version,
    routes: [
        route("/read/", "idempotent", "catalogue"),
        route("/book/", "non_idempotent", "catalogue"),
        route("/book/special/", "non_idempotent", "other"),
        route("/talk/", "streaming", "model", { resumable: true, gapTargetMs: 120, timeoutMs: 6_000 }),
    ],
    services: [{ name: "catalogue", coldPerS: 0 }, { name: "model", coldPerS: 26 }, { name: "other" }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    tenants: [{ name: "council", apiKeys: [validApiKey], priority: 1 }],
    ...changes,
});

const pollIntervalMilliseconds = 10;

let callCount = 0;

const call = (address: string, path: string, options: CallOptions): Promise<CallerAnswer> =>
    new Promise((resolve, reject) => {
        callCount += 1;
        const [ip, port] = address.split(":");
        const {
            method = "GET",
            body,
            apiKey = validApiKey,
            tokenUsage,
            timeoutMilliseconds = 2_000,
            headers = {},
            disconnectAfterCharacters,
        } = options;
        const requestId = options.requestId ?? `request-${callCount}`;
        const outgoing = startRequest({
            host: ip,
            port: Number(port),
            path,
            method,
            agent: options.agent ?? false,
            headers: {
                host,
                [headerNames.requestId]: requestId,
                [headerNames.remainingTimeout]: String(timeoutMilliseconds),
                [headerNames.authorization]: `Bearer ${apiKey}`,
                ...(tokenUsage === undefined ? {} : { [headerNames.tokenUsage]: tokenUsage }),
                ...headers,
            },
        });
        outgoing.once("error", reject);
        outgoing.once("response", response => {
            let text = "";
            response.on("data", (chunk: Buffer) => {
                text += chunk.toString("utf8");
                if (disconnectAfterCharacters !== undefined && text.length >= disconnectAfterCharacters) {
                    outgoing.destroy();
                }
            });
            // A truncated response raises an error; `isComplete` reports the truncation.
            response.on("error", () => undefined);
            response.once("close", () =>
                resolve({
                    status: response.statusCode ?? 0,
                    headers: response.headers,
                    body: text,
                    isComplete: response.complete,
                }));
        });
        outgoing.end(body);
    });

/** Entries gossip at addresses of their own, so that they can share a port number. */
const entryIp = (index: number): string => `127.0.1.${index + 1}`;

/** With `memoryMegabytes`, the platform states slow readers. */
export const startPlatformDeployment = async (
    isConfigured = true,
    entryCount = 1,
    memoryMegabytes?: number,
): Promise<PlatformDeployment> => {
    const store = await startKeyedStore();
    const logLines: LogLine[] = [];
    if (isConfigured) {
        store.put(topics.operator, "config", standardConfiguration(1));
    }
    const gossipPort = Number(store.address.split(":")[1]);

    const startEntry = async (index: number): Promise<{ daemon: IngressDaemon; lifetime: AbortController; }> => {
        const lifetime = new AbortController();
        const host = `entry-${index + 1}`;
        const recordLogLine = (event: string, fields: Record<string, unknown> = {}): void =>
            void logLines.push({ event, host, timestamp: new Date().toISOString(), ...fields });
        const logger: Logger = {
            info: recordLogLine,
            warn: recordLogLine,
            error: recordLogLine,
            debug: () => undefined,
        };
        const storeClient = createStoreClient(store.address, lifetime.signal);
        const daemon = await startIngress(
            {
                host,
                availabilityZone: "medina",
                ip: entryIp(index),
                internalPorts: [gossipPort, gossipPort],
                metrics: "127.0.0.1:0",
                store: { address: store.address },
                logLevel: "info",
                callers: "127.0.0.1:0",
                readiness: "127.0.0.1:0",
                graceSeconds: 5,
                retryRatio: 0.2,
                retrySlack: 400,
                retryWindowSeconds: 10,
                platformContracts: [],
                waitForRecovery: false,
                memoryMegabytes,
            },
            {
                headerAdapter: platformHeaderAdapter,
                records: createRecordSource(storeClient),
                decode: decodeDeploymentRecord,
                createMemberList: (source: RecordSource) => createMemberList(storeClient, source),
                createCrashEvidenceStore: (source: RecordSource) => createCrashEvidenceStore(storeClient, source),
                engines: platformEngines,
                readinessPath: paths.readiness,
                conditions: { hasSlowReaders: memoryMegabytes !== undefined },
            },
            logger,
            lifetime.signal,
        );
        return { daemon, lifetime };
    };

    const startEntries = () => Promise.all([...Array(entryCount).keys()].map(startEntry));
    let entries = await startEntries();
    const stopEntries = async (): Promise<void> => {
        entries.forEach(({ lifetime }) => lifetime.abort());
        await Promise.all(entries.map(({ daemon }) => daemon.stop()));
    };
    const entryAt = (index: number): IngressDaemon => entries[index]?.daemon ?? expect.fail(`no entry ${index}`);
    const waitUntil = async (condition: () => boolean | Promise<boolean>): Promise<void> => {
        while (!await condition()) {
            await new Promise(resolve => setTimeout(resolve, pollIntervalMilliseconds));
        }
    };
    return {
        store,
        get entry() {
            return entryAt(0);
        },
        logLines,
        restartEntries: async () => {
            await stopEntries();
            entries = await startEntries();
        },
        listUpstream: ({ id, address }, service, fields = {}) =>
            store.put(topics.upstreams, id, {
                service,
                address,
                zone: "medina",
                slots: 8,
                state: "ready",
                seq: 1,
                coldLeftMs: 0,
                born: 1_700_000_000_000,
                ...fields,
            }),
        configure: (version, changes) => store.put(topics.operator, "config", standardConfiguration(version, changes)),
        call: (path, options = {}) => call(entryAt(options.entry ?? 0).addresses.callers, path, options),
        waitUntil,
        stop: async () => {
            await stopEntries();
            await store.close();
        },
    };
};
