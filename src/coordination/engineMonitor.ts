/**
 * Polls the model engine beside an agent, so that admission control learns of a restart, a crash or a stall that no
 * request's response reveals.
 */
import type { Clock } from "../state/types.js";
import type { AdmissionController } from "./admissionController.js";
import type { EngineClient } from "./upstreamClients.js";

export type EngineMonitor = {
    /** Polls at once instead of at the next interval. */
    pollNow: () => void;
};

const pollIntervalMilliseconds = 1_000;

/** Poll interval while the engine does not answer. */
const retryIntervalMilliseconds = 200;

/** A single timeout may only mean that the engine is busy; an unreachable engine is down at once. */
const failuresBeforeDown = 3;

type EngineMonitorDependencies = {
    engine: Pick<EngineClient, "load">;
    admissionController: AdmissionController;
    clock: Clock;
};

/** Starts the polling task, which ends when `signal` aborts. */
export const startEngineMonitor = (
    { engine, admissionController, clock }: EngineMonitorDependencies,
    signal: AbortSignal,
): EngineMonitor => {
    let sleepController = new AbortController();
    let consecutiveFailures = 0;
    signal.addEventListener("abort", () => sleepController.abort(), { once: true });

    const poll = async (): Promise<void> => {
        admissionController.checkStall();
        const load = await engine.load(signal);
        if (load.isOk()) {
            consecutiveFailures = 0;
            admissionController.observeReachable(load.value.incarnation, load.value.takenAt);
            return;
        }
        consecutiveFailures += 1;
        if (!signal.aborted && (load.error.kind === "unreachable" || consecutiveFailures >= failuresBeforeDown)) {
            admissionController.observeUnreachable();
        }
    };

    const run = async (): Promise<void> => {
        while (!signal.aborted) {
            sleepController = new AbortController();
            await poll();
            await clock.sleep(
                consecutiveFailures > 0 ? retryIntervalMilliseconds : pollIntervalMilliseconds,
                sleepController.signal,
            );
        }
    };
    void run();

    return { pollNow: () => sleepController.abort() };
};
