/**
 * Simulates an expert-parallel group whose engines run forward passes in lockstep.
 *
 * Orders to the engines can be lost, executed without an answer, or executed late. Every forward pass that starts while
 * the ranks have different expert maps is recorded as a violation.
 */
import { err, ok, type Result } from "neverthrow";
import type { EngineOrder, OrderOutcome, RankEngines, RankReport } from "../../src/coordination/experts/rankEngine.js";
import type { Clock, RandomNumber } from "../../src/state/types.js";

export type GroupFaults = {
    /** Probability that an order gets no answer. */
    unansweredProbability: number;
    /**
     * Probability that an unanswered order is executed 2 to 12 s later; of the others, half are executed at once and
     * half are lost.
     */
    lateExecutionProbability: number;
};

type Rank = {
    mapInForce: number;
    prepared: number | undefined;
    copying: { version: number; until: number; } | undefined;
    armed: { version: number; step: number; } | undefined;
    held: number | undefined;
    highestVersion: number;
};

export type LockstepGroup = {
    engines: RankEngines;
    addresses: string[];
    report: (rank: number) => RankReport;
    /** Descriptions of the forward passes that started while ranks had different maps. */
    violations: string[];
    switches: () => number;
    step: () => number;
    /** Simulates the restart of a rank: the group re-forms in a new epoch, and its maps and orders are lost. */
    reformGroup: () => void;
};

const forwardPassMilliseconds = 80;
const copyMilliseconds = 300;

const createRank = (highestVersion: number): Rank => ({
    mapInForce: 0,
    prepared: undefined,
    copying: undefined,
    armed: undefined,
    held: undefined,
    highestVersion,
});

export const startLockstepGroup = (
    size: number,
    faults: GroupFaults,
    clock: Clock,
    random: RandomNumber,
    signal: AbortSignal,
): LockstepGroup => {
    let ranks = Array.from({ length: size }, () => createRank(0));
    let epoch = 1;
    let step = 0;
    let switches = 0;
    const violations: string[] = [];
    const addresses = [...ranks.keys()].map(index => `engine-${index}:1`);

    const finishDueCopy = (rank: Rank): void => {
        if (rank.copying !== undefined && rank.copying.until <= clock.now()) {
            rank.prepared = rank.copying.version;
            rank.copying = undefined;
        }
    };

    const handlers: {
        [Kind in EngineOrder["kind"]]: (rank: Rank, order: Extract<EngineOrder, { kind: Kind; }>) => boolean;
    } = {
        prepare: (rank, { version }) => {
            if (version <= rank.highestVersion || rank.armed !== undefined) {
                return rank.copying?.version === version || rank.prepared === version && rank.armed === undefined;
            }
            rank.highestVersion = version;
            rank.copying = { version, until: clock.now() + copyMilliseconds };
            return true;
        },
        arm: (rank, { version, step: switchStep }) => {
            if (rank.armed?.version === version && rank.armed.step === switchStep) {
                return true;
            }
            if (rank.armed !== undefined || rank.prepared !== version || switchStep <= step) {
                return false;
            }
            rank.armed = { version, step: switchStep };
            return true;
        },
        disarm: (rank, { version }) => {
            if (rank.mapInForce === version) {
                return false;
            }
            if (rank.armed?.version === version) {
                rank.armed = undefined;
            }
            return true;
        },
        hold: (rank, { step: holdStep }) => {
            if (rank.held === holdStep) {
                return true;
            }
            if (rank.held !== undefined || holdStep <= step) {
                return false;
            }
            rank.held = holdStep;
            return true;
        },
        release: (rank, { step: holdStep }) => {
            if (rank.held === holdStep) {
                rank.held = undefined;
            }
            return true;
        },
    };

    const executeOrder = (index: number, orderEpoch: number, order: EngineOrder): boolean => {
        const rank = ranks[index] as Rank;
        finishDueCopy(rank);
        return orderEpoch === epoch
            && (handlers[order.kind] as (rank: Rank, order: EngineOrder) => boolean)(rank, order);
    };

    const report = (index: number): RankReport => {
        const rank = ranks[index] as Rank;
        finishDueCopy(rank);
        return {
            group: "g",
            rank: index,
            ranks: size,
            epoch,
            isOpen: true,
            step,
            mapInForce: rank.mapInForce,
            prepared: rank.prepared,
            armed: rank.armed,
            held: rank.held,
        };
    };

    const sendOrder = async (
        engine: string,
        orderEpoch: number,
        engineOrder: EngineOrder,
    ): Promise<Result<OrderOutcome, string>> => {
        const index = addresses.indexOf(engine);
        if (random() >= faults.unansweredProbability) {
            return ok(executeOrder(index, orderEpoch, engineOrder) ? "done" : "refused");
        }
        if (random() < faults.lateExecutionProbability) {
            void clock.sleep(2_000 + random() * 10_000, signal).then(() =>
                executeOrder(index, orderEpoch, engineOrder)
            );
        }
        else if (random() < 0.5) {
            executeOrder(index, orderEpoch, engineOrder);
        }
        await clock.sleep(250, signal);
        return err("no answer");
    };

    const beginForwardPass = (): void => {
        const nextStep = step + 1;
        if (ranks.some(({ held }) => held === nextStep)) {
            return;
        }
        step = nextStep;
        for (const rank of ranks) {
            finishDueCopy(rank);
            if (rank.armed?.step === step) {
                rank.mapInForce = rank.armed.version;
                rank.prepared = undefined;
                rank.armed = undefined;
            }
        }
        const versions = new Set(ranks.map(({ mapInForce }) => mapInForce));
        if (versions.size > 1) {
            violations.push(`forward pass ${step} of epoch ${epoch} ran on maps ${[...versions].join(", ")}`);
        }
    };

    const run = async (): Promise<void> => {
        let previousMap = 0;
        while (!signal.aborted) {
            await clock.sleep(forwardPassMilliseconds, signal);
            beginForwardPass();
            const currentMap = ranks[0]?.mapInForce ?? 0;
            switches += currentMap !== previousMap ? 1 : 0;
            previousMap = currentMap;
        }
    };
    void run();

    return {
        engines: {
            report: async engine => ok(report(addresses.indexOf(engine))),
            counts: async () => err("not used: the test supplies the counts"),
            placedExperts: async engine =>
                ok({ version: report(addresses.indexOf(engine)).mapInForce, experts: [[0], [0]] }),
            order: sendOrder,
        },
        addresses,
        report,
        violations,
        switches: () => switches,
        step: () => step,
        reformGroup: () => {
            ranks = ranks.map(({ highestVersion }) => createRank(highestVersion));
            epoch += 1;
        },
    };
};
