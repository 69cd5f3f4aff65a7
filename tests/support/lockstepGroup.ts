/**
 * A group of engines in lock-step whose orders can be lost, answered to nobody or carried out late, and which notes every
 * pass that begins on two maps.
 */
import { err, ok, type Result } from "neverthrow";
import type { EngineOrder, OrderOutcome, RankEngines, RankReport } from "../../src/coordination/experts/rankEngine.js";
import type { Clock, RandomNumber } from "../../src/state/types.js";

export type GroupFaults = {
    /** Part of the orders that get no answer. */
    unanswered: number;
    /** Part of the unanswered orders that are carried out 2 to 12 s later; the rest is lost or was carried out at once. */
    late: number;
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
    /** Passes that began while two ranks had different maps. */
    violations: string[];
    switches: () => number;
    step: () => number;
    /** A rank starts anew: the group forms in a new epoch and forgets maps and orders. */
    formAnew: () => void;
};

const passMilliseconds = 80;
const copyMilliseconds = 300;

const freshRank = (highestVersion: number): Rank => ({
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
    let ranks = Array.from({ length: size }, () => freshRank(0));
    let epoch = 1;
    let step = 0;
    let switches = 0;
    const violations: string[] = [];
    const addresses = [...ranks.keys()].map(index => `engine-${index}:1`);

    const settleCopies = (rank: Rank): void => {
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
        arm: (rank, { version, step: at }) => {
            if (rank.armed?.version === version && rank.armed.step === at) {
                return true;
            }
            if (rank.armed !== undefined || rank.prepared !== version || at <= step) {
                return false;
            }
            rank.armed = { version, step: at };
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
        hold: (rank, { step: at }) => {
            if (rank.held === at) {
                return true;
            }
            if (rank.held !== undefined || at <= step) {
                return false;
            }
            rank.held = at;
            return true;
        },
        release: (rank, { step: at }) => {
            if (rank.held === at) {
                rank.held = undefined;
            }
            return true;
        },
    };

    const carryOut = (index: number, orderEpoch: number, order: EngineOrder): boolean => {
        const rank = ranks[index] as Rank;
        settleCopies(rank);
        return orderEpoch === epoch
            && (handlers[order.kind] as (rank: Rank, order: EngineOrder) => boolean)(rank, order);
    };

    const report = (index: number): RankReport => {
        const rank = ranks[index] as Rank;
        settleCopies(rank);
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

    const order = async (
        engine: string,
        orderEpoch: number,
        wanted: EngineOrder,
    ): Promise<Result<OrderOutcome, string>> => {
        const index = addresses.indexOf(engine);
        if (random() >= faults.unanswered) {
            return ok(carryOut(index, orderEpoch, wanted) ? "done" : "refused");
        }
        if (random() < faults.late) {
            void clock.sleep(2_000 + random() * 10_000, signal).then(() => carryOut(index, orderEpoch, wanted));
        }
        else if (random() < 0.5) {
            carryOut(index, orderEpoch, wanted);
        }
        await clock.sleep(250, signal);
        return err("no answer");
    };

    const beginPass = (): void => {
        const next = step + 1;
        if (ranks.some(({ held }) => held === next)) {
            return;
        }
        step = next;
        for (const rank of ranks) {
            settleCopies(rank);
            if (rank.armed?.step === step) {
                rank.mapInForce = rank.armed.version;
                rank.prepared = undefined;
                rank.armed = undefined;
            }
        }
        const versions = new Set(ranks.map(({ mapInForce }) => mapInForce));
        if (versions.size > 1) {
            violations.push(`pass ${step} of epoch ${epoch} on maps ${[...versions].join(", ")}`);
        }
    };

    const run = async (): Promise<void> => {
        let inForce = 0;
        while (!signal.aborted) {
            await clock.sleep(passMilliseconds, signal);
            beginPass();
            const now = ranks[0]?.mapInForce ?? 0;
            switches += now !== inForce ? 1 : 0;
            inForce = now;
        }
    };
    void run();

    return {
        engines: {
            report: async engine => ok(report(addresses.indexOf(engine))),
            counts: async () => err("not used: the test tells the counts"),
            placedExperts: async engine =>
                ok({ version: report(addresses.indexOf(engine)).mapInForce, experts: [[0], [0]] }),
            order,
        },
        addresses,
        report,
        violations,
        switches: () => switches,
        step: () => step,
        formAnew: () => {
            ranks = ranks.map(({ highestVersion }) => freshRank(highestVersion));
            epoch += 1;
        },
    };
};
