/**
 * One cold upstream under full demand on a virtual clock, with the real admission gate or with none.
 */
import { createAdmissionController, type Permit } from "../coordination/admissionController.js";

export type ColdStart = {
    /** Whether the gate guards the upstream; without it all demand up to the capacity goes in at once. */
    hasGate: boolean;
    warmUpTokens: number;
};

export type ColdStartOutcome = {
    crashes: number;
    /** Requests cut by the crashes. */
    cutRequests: number;
    /** Time until the upstream runs at its capacity, or undefined if it does not get there. */
    secondsToCapacity: number | undefined;
    completed: number;
};

const stepMilliseconds = 20;
const seconds = 120;
const capacity = 64;
const coldCapacity = 4;
const tokensPerRequest = 60;

/** Tokens after which the modelled upstream is warm. */
const warmAfterTokens = 500;
const restartMilliseconds = 200;

export const runColdStart = ({ hasGate, warmUpTokens }: ColdStart): ColdStartOutcome => {
    let now = 0;
    const settings = {
        capacity,
        coldCapacity: hasGate ? coldCapacity : capacity,
        stepTimeBoundMilliseconds: 75,
        warmUpTokens,
    };
    const gate = createAdmissionController({ clock: { now: () => now }, settings: () => settings });
    let running: { permit: Permit; left: number; }[] = [];
    let tokens = 0;
    let incarnation = 1;
    const outcome: ColdStartOutcome = { crashes: 0, cutRequests: 0, secondsToCapacity: undefined, completed: 0 };

    const crash = (): void => {
        outcome.crashes += 1;
        outcome.cutRequests += running.length;
        running.forEach(({ permit }) => permit.release({ result: "crashed", tokens: 0 }));
        running = [];
        tokens = 0;
        incarnation += 1;
        now += restartMilliseconds;
        gate.observeReachable(`engine-${incarnation}`, now);
    };

    const fill = (): void => {
        for (let permit = gate.admit({ tokens: tokensPerRequest, migratable: true }); permit.isOk();) {
            running.push({ permit: permit.value, left: tokensPerRequest });
            permit = gate.admit({ tokens: tokensPerRequest, migratable: true });
        }
    };

    gate.observeReachable(`engine-${incarnation}`, now);
    while (now < seconds * 1_000) {
        fill();
        if (tokens < warmAfterTokens && running.length > coldCapacity) {
            crash();
            continue;
        }
        outcome.secondsToCapacity ??= running.length === capacity ? now / 1_000 : undefined;
        now += stepMilliseconds;
        tokens += running.length;
        for (const request of running) {
            request.left -= 1;
            request.permit.recordTokens(1);
        }
        const ended = running.filter(({ left }) => left === 0);
        running = running.filter(({ left }) => left > 0);
        ended.forEach(({ permit }) => permit.release({ result: "completed", tokens: tokensPerRequest }));
        outcome.completed += ended.length;
    }
    return outcome;
};
