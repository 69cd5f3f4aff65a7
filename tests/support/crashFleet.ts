/**
 * Simulates agents with real crash guards in front of in-memory upstreams, with an in-memory log and a stepped clock.
 */
import { err, ok } from "neverthrow";
import { setMaxListeners } from "node:events";
import type { ModelAttempt } from "../../src/coordination/attempts.js";
import { type CrashGuard, createCrashGuard, type ServeAttempt } from "../../src/coordination/crashGuard.js";
import { createQuarantineRegistry, type QuarantineRegistry } from "../../src/coordination/quarantineRegistry.js";
import { decodeCrashReports } from "../../src/protocol/quarantineRecords.js";
import type { QuarantineBatch } from "../../src/state/quarantineStateMachine.js";
import type { LoadReport } from "../../src/state/types.js";
import { type FaultyLog, faultyLog } from "./faultyLog.js";
import { type SteppedClock, steppedClock } from "./steppedClock.js";

export type GuardedUpstream = {
    quarantineRegistry: QuarantineRegistry;
    guard: CrashGuard;
    /** Digests of the requests in flight at each crash. */
    crashes: string[][];
};

export type CrashFleet = {
    clock: SteppedClock;
    log: FaultyLog<QuarantineBatch>;
    upstreams: GuardedUpstream[];
    /** Digests of the requests that crash any upstream that runs them. */
    poisonDigests: Set<string>;
    /**
     * Sends a request through an entry without earlier state, which tries the upstreams in order from `firstUpstream`.
     * `isSuspect` tells that the entry knows the request was in flight at a crash. Resolves with the final outcome.
     */
    send: (digest: string, firstUpstream: number, isSuspect?: boolean) => Promise<string>;
    stop: () => void;
};

const runMilliseconds = 200;
const crashAfterMilliseconds = 30;
const retryDelayMilliseconds = 20;
const requestTimeoutMilliseconds = 10_000;

const load: LoadReport = {
    state: "warm",
    incarnation: "",
    running: 0,
    limit: 0,
    outstandingTokens: 0,
    tokensPerSecond: 0,
    takenAt: 0,
};

const attemptOf = (digest: string, timeoutMilliseconds: number, alone: boolean): ModelAttempt => ({
    requestId: digest,
    clientAccount: "portal",
    priority: "interactive",
    model: "council",
    prompt: digest,
    maximumTokens: 1,
    digest,
    attempt: digest,
    resumeFrom: 0,
    timeoutMilliseconds,
    alone,
});

const discardingWriter = { isOpen: () => false, token: () => undefined, heartbeat: () => undefined };

export const crashFleet = (size: number): CrashFleet => {
    const controller = new AbortController();
    const { signal } = controller;
    setMaxListeners(0, signal);
    const clock = steppedClock(Date.UTC(2030, 0, 1));
    const log = faultyLog<QuarantineBatch>(clock, signal, "quarantine");

    const start = (name: string): GuardedUpstream & { serve: (digest: string) => ServeAttempt; } => {
        const quarantineRegistry = createQuarantineRegistry({
            stream: log.openStream(),
            clock,
            agent: name,
            decodeReports: decodeCrashReports,
        });
        void quarantineRegistry.run(signal);
        const running = new Map<AbortController, string>();
        const crashes: string[][] = [];
        const crash = (): void => {
            crashes.push([...running.values()]);
            [...running.keys()].forEach(request => request.abort());
        };
        const serve = (digest: string): ServeAttempt => async () => {
            const requestController = new AbortController();
            running.set(requestController, digest);
            await clock.sleep(
                fleet.poisonDigests.has(digest) ? crashAfterMilliseconds : runMilliseconds,
                requestController.signal,
            );
            if (fleet.poisonDigests.has(digest) && !requestController.signal.aborted) {
                crash();
            }
            running.delete(requestController);
            return requestController.signal.aborted
                ? ok(err({ kind: "crashed", reason: "crash" }))
                : ok(ok({ tokens: 1, finishReason: "stop", load }));
        };
        const guard = createCrashGuard({
            host: name,
            clock,
            quarantineRegistry,
            heartbeatIntervalMilliseconds: 500,
        });
        return { quarantineRegistry, guard, crashes, serve };
    };

    const upstreams = [...Array(size).keys()].map(index => start(`upstream ${index}`));

    const send = async (digest: string, firstUpstream: number, isSuspect = false): Promise<string> => {
        const deadline = clock.now() + requestTimeoutMilliseconds;
        let alone = isSuspect;
        for (let next = firstUpstream; clock.now() < deadline; next++) {
            const upstream = upstreams[next % size]!;
            const attempt = attemptOf(digest, deadline - clock.now(), alone);
            const served = await upstream.guard.run(attempt, discardingWriter, upstream.serve(digest), signal);
            if (served.isErr() && served.error.code !== "upstream-full") {
                return served.error.code;
            }
            if (served.isOk() && served.value.isOk()) {
                return "complete";
            }
            alone ||= served.isOk();
            await clock.sleep(retryDelayMilliseconds, signal);
        }
        return "deadline-passed";
    };

    const fleet: CrashFleet = { clock, log, upstreams, poisonDigests: new Set(), send, stop: () => controller.abort() };
    return fleet;
};
