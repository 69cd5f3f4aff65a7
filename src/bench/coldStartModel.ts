/**
 * Simulates one cold upstream under saturating demand on a virtual clock, with the production admission controller.
 *
 * Without admission control the cold capacity is set to the full capacity, so that nothing protects the cold upstream.
 */
import { createAdmissionController, type Permit } from "../coordination/admissionController.js";

export type ColdStartOptions = {
    /** Whether the cold capacity applies; otherwise requests up to the full capacity are admitted at once. */
    hasAdmissionControl: boolean;
    warmUpTokens: number;
};

export type ColdStartResult = {
    crashes: number;
    /** Requests interrupted by the crashes. */
    interruptedRequests: number;
    /** Time until the upstream first runs at its capacity; `undefined` if it never does. */
    secondsToCapacity: number | undefined;
    completed: number;
};

const stepMilliseconds = 20;
const seconds = 120;
const capacity = 64;
const coldCapacity = 4;
const tokensPerRequest = 60;

/** Number of generated tokens after which the simulated upstream is warm. */
const warmAfterTokens = 500;
const restartMilliseconds = 200;

export const runColdStartModel = (
    { hasAdmissionControl, warmUpTokens }: ColdStartOptions,
): ColdStartResult => {
    let now = 0;
    const settings = {
        capacity,
        coldCapacity: hasAdmissionControl ? coldCapacity : capacity,
        stepTimeBoundMilliseconds: 75,
        warmUpTokens,
    };
    const admissionController = createAdmissionController({ clock: { now: () => now }, settings: () => settings });
    let running: { permit: Permit; remainingTokens: number; }[] = [];
    let generatedTokens = 0;
    let incarnation = 1;
    const totals: ColdStartResult = { crashes: 0, interruptedRequests: 0, secondsToCapacity: undefined, completed: 0 };

    const crash = (): void => {
        totals.crashes += 1;
        totals.interruptedRequests += running.length;
        running.forEach(({ permit }) => permit.release({ result: "crashed", tokens: 0 }));
        running = [];
        generatedTokens = 0;
        incarnation += 1;
        now += restartMilliseconds;
        admissionController.observeReachable(`engine-${incarnation}`, now);
    };

    const admitUntilFull = (): void => {
        for (let permit = admissionController.admit({ tokens: tokensPerRequest, migratable: true }); permit.isOk();) {
            running.push({ permit: permit.value, remainingTokens: tokensPerRequest });
            permit = admissionController.admit({ tokens: tokensPerRequest, migratable: true });
        }
    };

    admissionController.observeReachable(`engine-${incarnation}`, now);
    while (now < seconds * 1_000) {
        admitUntilFull();
        if (generatedTokens < warmAfterTokens && running.length > coldCapacity) {
            crash();
            continue;
        }
        totals.secondsToCapacity ??= running.length === capacity ? now / 1_000 : undefined;
        now += stepMilliseconds;
        generatedTokens += running.length;
        for (const request of running) {
            request.remainingTokens -= 1;
            request.permit.recordTokens(1);
        }
        const finished = running.filter(({ remainingTokens }) => remainingTokens === 0);
        running = running.filter(({ remainingTokens }) => remainingTokens > 0);
        finished.forEach(({ permit }) => permit.release({ result: "completed", tokens: tokensPerRequest }));
        totals.completed += finished.length;
    }
    return totals;
};
