/**
 * Polls the model engine beside an agent, so that the gate learns of a restart, a crash or a stall that no
 * request's answer tells of.
 */
import type { Clock } from "../state/types.js";
import type { AdmissionController } from "./admissionController.js";
import type { EngineClient } from "./upstreamClients.js";

export type EngineMonitor = {
    /** Polls at once instead of at the next turn. */
    pollNow: () => void;
};

const pollIntervalMilliseconds = 1_000;

/** While the engine doesn't answer it is asked more often. */
const retryIntervalMilliseconds = 200;

/** An engine that is slow to answer once may just be busy. */
const failuresBeforeDown = 3;

type EngineMonitorDependencies = {
    engine: Pick<EngineClient, "load">;
    admissionController: AdmissionController;
    clock: Clock;
};

/** Starts the task; it ends when `signal` aborts. */
export const startEngineMonitor = (
    { engine, admissionController: admissionController, clock }: EngineMonitorDependencies,
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
