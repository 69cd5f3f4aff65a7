/**
 * Simulates agents with real claim registries in front of one plain service, with an in-memory log and a stepped clock.
 *
 * Tests check at-most-once execution against the runs that the service itself records. A paused agent sees no log
 * response and no timer until it is resumed; a killed agent never does.
 */
import { ok, type Result } from "neverthrow";
import { setMaxListeners } from "node:events";
import type { ServiceResponse } from "../../src/coordination/attempts.js";
import { createClaimRegistry } from "../../src/coordination/claimRegistry.js";
import type { ClaimRegistry } from "../../src/coordination/claims.js";
import type { LogStream } from "../../src/coordination/logStream.js";
import { runAtMostOnce } from "../../src/coordination/runAtMostOnce.js";
import type { ServiceFailure } from "../../src/coordination/serviceAttemptTask.js";
import type { ClaimBatch, ClaimWindow } from "../../src/state/claimStateMachine.js";
import type { Clock } from "../../src/state/types.js";
import { type FaultyLog, faultyLog } from "./faultyLog.js";
import { type SteppedClock, steppedClock } from "./steppedClock.js";

export const testStartTime = Date.UTC(2030, 0, 1);

export const testWindow: ClaimWindow = { length: 600_000, clockSkew: 10_000 };

/** One run as recorded by the service. */
export type ServiceRun = { key: string; sendId: string; agent: string; at: number; };

/** One request sent through an agent; `completion` is unset until the agent answers. */
export type Send = { id: string; key: string; agent: string; deadline: number; completion?: SendCompletion; };

export type SendCompletion = { at: number; result: Result<ServiceResponse, ServiceFailure>; };

export type FleetAgent = {
    name: string;
    claimRegistry: ClaimRegistry;
    pause: () => void;
    resume: () => void;
    kill: () => void;
};

export type ClaimFleet = {
    clock: SteppedClock;
    log: FaultyLog<ClaimBatch>;
    runs: ServiceRun[];
    sends: Send[];
    runMilliseconds: number;
    /** Starts an agent with empty state. */
    start: (name: string) => FleetAgent;
    send: (agent: FleetAgent, key: string, timeoutMilliseconds?: number, digest?: string) => Send;
    stop: () => void;
};

type PauseGate = { waitUntilOpen: () => Promise<void>; close: () => void; open: () => void; };

const createPauseGate = (): PauseGate => {
    let opened = Promise.resolve();
    let open = (): void => undefined;
    return {
        waitUntilOpen: () => opened,
        close: () => {
            opened = new Promise(resolve => open = resolve);
        },
        open: () => open(),
    };
};

// A paused process sees log responses and expired timers only once it is resumed.
const delayWhilePaused = (
    stream: LogStream<ClaimBatch>,
    clock: Clock,
    gate: PauseGate,
): [LogStream<ClaimBatch>, Clock] => {
    const untilOpen = async <Value>(value: Promise<Value>): Promise<Value> => {
        const settled = await value;
        await gate.waitUntilOpen();
        return settled;
    };
    return [
        {
            name: stream.name,
            append: (body, signal) => untilOpen(stream.append(body, signal)),
            read: (from, wait, signal) => untilOpen(stream.read(from, wait, signal)),
        },
        {
            now: clock.now,
            sleep: (milliseconds, signal) => untilOpen(clock.sleep(milliseconds, signal)),
        },
    ];
};

export const claimFleet = (): ClaimFleet => {
    const controller = new AbortController();
    const { signal } = controller;
    setMaxListeners(0, signal);
    const clock = steppedClock(testStartTime);
    const log = faultyLog<ClaimBatch>(clock, signal);

    const start = (name: string): FleetAgent => {
        const gate = createPauseGate();
        const [stream, agentClock] = delayWhilePaused(log.openStream(), clock, gate);
        const claimRegistry = createClaimRegistry({ stream, clock: agentClock, agent: name, window: testWindow });
        void claimRegistry.run(signal);
        return { name, claimRegistry, pause: gate.close, resume: gate.open, kill: gate.close };
    };

    const runService = async (send: Send): Promise<Result<ServiceResponse, never>> => {
        fleet.runs.push({ key: send.key, sendId: send.id, agent: send.agent, at: clock.now() });
        const body = `receipt ${fleet.runs.length} for ${send.key}`;
        await clock.sleep(fleet.runMilliseconds, signal);
        return ok({ status: 200, body });
    };

    const send = (agent: FleetAgent, key: string, timeoutMilliseconds = 3_000, digest = "digest"): Send => {
        const deadline = clock.now() + timeoutMilliseconds;
        const sent: Send = { id: `send ${fleet.sends.length}`, key, agent: agent.name, deadline };
        fleet.sends.push(sent);
        void runAtMostOnce(agent.claimRegistry, { key, digest, deadline }, () => runService(sent), signal)
            .then(result => {
                sent.completion = { at: clock.now(), result };
            });
        return sent;
    };

    const fleet: ClaimFleet = {
        clock,
        log,
        runs: [],
        sends: [],
        runMilliseconds: 20,
        start,
        send,
        stop: () => controller.abort(),
    };
    return fleet;
};

/** Outcome of a send as its caller sees it: the body, a refusal or `unknown`; `undefined` before the answer. */
export const outcomeOf = ({ completion }: Send): string | undefined =>
    completion?.result.match(
        answer => answer.body,
        failure => failure.kind === "refused" ? `${failure.refusal.outcome}: ${failure.refusal.code}` : "unknown",
    );
