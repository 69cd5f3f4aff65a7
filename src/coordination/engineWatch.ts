/**
 * Polls the model engine beside an agent, so that the gate learns of a restart, a crash or a stall that no
 * request's answer tells of.
 */
import type { Clock } from "../state/types.js";
import type { AdmissionGate } from "./admissionGate.js";
import type { EngineClient } from "./upstreamClients.js";

export type EngineWatch = {
    /** Polls at once instead of at the next turn. */
    check: () => void;
};

const pollIntervalMilliseconds = 1_000;

/** While the engine doesn't answer it is asked more often. */
const retryIntervalMilliseconds = 200;

/** An engine that is slow to answer once may just be busy. */
const failuresUntilDown = 3;

type WatchTools = { engine: Pick<EngineClient, "load">; gate: AdmissionGate; clock: Clock; };

/** Starts the task; it ends when `signal` aborts. */
export const startEngineWatch = ({ engine, gate, clock }: WatchTools, signal: AbortSignal): EngineWatch => {
    let sleep = new AbortController();
    let failures = 0;
    signal.addEventListener("abort", () => sleep.abort(), { once: true });

    const poll = async (): Promise<void> => {
        gate.checkStall();
        const load = await engine.load(signal);
        if (load.isOk()) {
            failures = 0;
            gate.observeReachable(load.value.incarnation, load.value.takenAt);
            return;
        }
        failures += 1;
        if (!signal.aborted && (load.error.kind === "unreachable" || failures >= failuresUntilDown)) {
            gate.observeUnreachable();
        }
    };

    const run = async (): Promise<void> => {
        while (!signal.aborted) {
            sleep = new AbortController();
            await poll();
            await clock.sleep(failures > 0 ? retryIntervalMilliseconds : pollIntervalMilliseconds, sleep.signal);
        }
    };
    void run();

    return { check: () => sleep.abort() };
};
