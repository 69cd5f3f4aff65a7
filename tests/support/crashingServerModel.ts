/**
 * Simulated model servers that crash as they begin to answer certain requests. A crashed server comes back after two
 * seconds, at its address under another id.
 */
import { err, ok } from "neverthrow";
import { setMaxListeners } from "node:events";
import type { KnownUpstream } from "../../src/coordination/ingress/deploymentState.js";
import type { BodyEnd, SendToUpstream } from "../../src/coordination/ingress/upstreamAttempt.js";
import type { Clock } from "../../src/state/types.js";
import { listedUpstream } from "./upstreams.js";

export type FleetRequest = { body: string; account?: string; parts?: string[]; };

export type CrashingServerModel = {
    upstreams: () => KnownUpstream[];
    isDown: (address: string) => boolean;
    /** Sends `request` to the upstream that an attempt is for; `onSend` is called when it reaches that. */
    senderOf: (entry: number, request: FleetRequest, onSend: () => void) => SendToUpstream;
    /** The requests that reached servers, and the entries that sent them. */
    sends: { at: number; entry: number; request: FleetRequest; }[];
    /** With the request that caused it, if one did. */
    crashes: { at: number; request: FleetRequest | undefined; }[];
    /** Crashes the first `count` servers, for a cause outside of the requests. */
    crash: (count: number) => void;
};

const beginMilliseconds = 120;
const crashAfterMilliseconds = 60;
const eventMilliseconds = 40;
const eventsOfAnswer = 14;
const downMilliseconds = 2_000;

type SimulatedServer = {
    id: string;
    bornAt: number;
    address: string;
    isDown: boolean;
    /** Breaks the answers in flight. */
    crashed: AbortController;
};

export const startCrashingServerModel = (
    count: number,
    isBad: (request: FleetRequest) => boolean,
    clock: Clock,
    signal: AbortSignal,
): CrashingServerModel => {
    const sends: CrashingServerModel["sends"] = [];
    const crashes: CrashingServerModel["crashes"] = [];
    const servers: SimulatedServer[] = [...Array(count).keys()].map(index => ({
        id: `i-${index}-0`,
        bornAt: 1,
        address: `10.0.0.${index}:1`,
        isDown: false,
        crashed: new AbortController(),
    }));
    servers.forEach(({ crashed }) => setMaxListeners(0, crashed.signal));

    const crash = async (server: SimulatedServer, request?: FleetRequest): Promise<void> => {
        if (server.isDown) {
            return;
        }
        server.isDown = true;
        crashes.push({ at: clock.now(), request });
        server.crashed.abort();
        await clock.sleep(downMilliseconds, signal);
        server.bornAt += 1;
        server.id = `${server.id.slice(0, server.id.lastIndexOf("-"))}-${server.bornAt}`;
        server.crashed = new AbortController();
        setMaxListeners(0, server.crashed.signal);
        server.isDown = false;
    };

    const upstreams = (): KnownUpstream[] =>
        servers.map(({ id, bornAt, address }) => ({ ...listedUpstream({ id, bornAt, address }), goneAt: undefined }));

    const serverAt = (address: string): SimulatedServer | undefined =>
        servers.find(candidate => candidate.address === address);

    const senderOf =
        (entry: number, request: FleetRequest, onSend: () => void): SendToUpstream =>
        async (...[upstream, , , attemptSignal]) => {
            const server = serverAt(upstream.address);
            if (server === undefined || server.isDown) {
                return err({ kind: "unreachable", reason: "connect ECONNREFUSED" });
            }
            sends.push({ at: clock.now(), entry, request });
            onSend();
            const { crashed } = server;
            const ended = AbortSignal.any([crashed.signal, attemptSignal]);
            await clock.sleep(beginMilliseconds, ended);
            if (ended.aborted) {
                return err({ kind: "broken", reason: "the connection was closed before a response" });
            }
            let end: BodyEnd = "closed";
            async function* body(): AsyncGenerator<Buffer> {
                if (isBad(request)) {
                    await clock.sleep(crashAfterMilliseconds, ended);
                    if (!ended.aborted) {
                        void crash(server as SimulatedServer, request);
                    }
                    return;
                }
                for (let event = 1; event <= eventsOfAnswer; event += 1) {
                    await clock.sleep(eventMilliseconds, ended);
                    if (ended.aborted) {
                        return;
                    }
                    yield Buffer.from(`id: ${event}\ndata: piece\n\n`);
                }
                end = "marked";
            }
            return ok({
                status: 200,
                metadata: {
                    requestId: undefined,
                    isSealed: true,
                    isNotRun: false,
                    isEventStream: true,
                    isLeaving: false,
                    retryAfter: undefined,
                    requestsPerSecond: undefined,
                },
                headers: [],
                body: body(),
                ending: () => ({ framing: "chunks", end, bodyBytes: 0 }),
                close: () => undefined,
            });
        };

    return {
        upstreams,
        isDown: address => serverAt(address)?.isDown === true,
        senderOf,
        sends,
        crashes,
        crash: crashCount => servers.slice(0, crashCount).forEach(server => void crash(server)),
    };
};
