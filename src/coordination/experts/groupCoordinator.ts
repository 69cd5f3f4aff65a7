/**
 * Keeps the expert map of one group close to its demand: samples, plans, switches, and resolves what others left.
 *
 * Any number of agents may act as coordinator at once without harm (see `rankSwitch.ts`); the agents agree on the lowest
 * rank that is heard only to save work.
 */
import type { ExpertShape } from "../../state/ingressTypes.js";
import type { Clock } from "../../state/types.js";
import type { IngressLog } from "../ingress/ingressLog.js";
import type { Metrics } from "../metrics.js";
import { createLoadSamples, type LoadSamples } from "./loadSamples.js";
import type { EngineAddress, PlacedExperts, RankEngines, RankReport } from "./rankEngine.js";
import { createRankSwitch } from "./rankSwitch.js";
import { mapInTurn, planFromSamples } from "./sampledPlacement.js";

/** What the agent of one rank tells the coordinator. */
export type RankNews = { report: RankReport; engine: EngineAddress; step: number; counts: number[]; };

export type GroupCoordinatorOptions = {
    ownRank: number;
    ranks: number;
    shape: ExpertShape;
    engines: RankEngines;
    /** The engines of the group by the platform's list, by rank; undefined while one is not known. */
    members: () => EngineAddress[] | undefined;
    clock: Clock;
    /** Time of day in seconds: a first guess above the versions of an earlier life of this agent. */
    timeOfDaySeconds: () => number;
    log: IngressLog;
    metrics: Metrics;
    signal: AbortSignal;
};

export type GroupCoordinator = {
    take: (news: RankNews) => void;
    /** Plans and switches while `isActive`; resolves with the signal. */
    run: (isActive: () => boolean) => Promise<void>;
    status: () => Record<string, unknown>;
};

const roundMilliseconds = 300;
/** Fewest samples to plan from: half a second of passes. */
const leastSamples = 2;
/** Copies that one rank makes for one map: three quarters of a second, since the demand drifts within three. */
const newPerRank = 5;
/** For the first map, which starts from one that knows nothing of the demand. */
const newPerRankAtFirst = 14;
const leastGain = 0.02;
/** A plan must promise this much less skew to be worth the copies and orders. */
const leastSkewGain = 0.12;
const prepareMilliseconds = 9_000;
/** More than a coordinator uses in a second: it takes every eighth version, at most once a second. */
const versionsPerSecond = 8;
/** November 2023; counting from here keeps versions below 2^31 until 2032. */
const firstVersionSeconds = 1_700_000_000;
/** Refusals in a row after which the jump to a higher version no longer doubles. */
const largestJump = 16;
/** One expert of 1,700 MB over a link of 92 Gbit/s. */
const copyMilliseconds = 148;

export const createGroupCoordinator = (options: GroupCoordinatorOptions): GroupCoordinator => {
    const { ownRank, ranks, shape, engines, members, clock, timeOfDaySeconds, log, metrics, signal } = options;
    const samples: LoadSamples = createLoadSamples(ranks);
    let epoch = -1;
    /** Engines refuse versions below any that they had, also in earlier epochs, which no report shows. */
    let highestVersion = 0;
    let refusals = 0;
    /** The map in force, with its version; undefined while it must be read from the engines. */
    let present: { version: number; map: PlacedExperts; } | undefined;
    let lastPlan: Record<string, unknown> = {};
    /** Engines as their agents name them, by rank; newer than the list after a restart. */
    const engineOfRank = new Map<number, EngineAddress>();

    const engineAddresses = (): EngineAddress[] | undefined => {
        const told = [...Array(ranks).keys()].map(rank => engineOfRank.get(rank));
        const listed = members();
        const known = told.flatMap((engine, rank) => engine ?? listed?.[rank] ?? []);
        return known.length === ranks ? known : undefined;
    };

    const enterEpoch = (report: RankReport): void => {
        epoch = report.epoch;
        present = undefined;
        engineOfRank.clear();
        samples.clear();
        log.belief("group formed", { group: report.group, epoch, isOpen: report.isOpen });
    };

    const see = (report: RankReport): void => {
        if (report.epoch > epoch) {
            enterEpoch(report);
        }
        highestVersion = Math.max(highestVersion, report.mapInForce, report.prepared ?? 0, report.armed?.version ?? 0);
    };

    /** Versions and passes are dealt out to ranks by turns, so that two coordinators never use the same. */
    const nextOwn = (above: number): number => above + 1 + (((ownRank - above - 1) % ranks) + ranks) % ranks;

    /** Rank 0 may hold any even pass, the others the odd ones by turns, since rank 0 nearly always coordinates. */
    const nextStep = (step: number, lead: number): number => {
        const earliest = step + lead;
        return ownRank === 0 ? earliest + earliest % 2 : 2 * nextOwn(Math.ceil(earliest / 2)) + 1;
    };

    const nextVersion = (): number => {
        highestVersion = nextOwn(
            Math.max(highestVersion, (timeOfDaySeconds() - firstVersionSeconds) * versionsPerSecond),
        );
        return highestVersion;
    };

    /** Reads the map in force from the engines, where this coordinator did not make it. */
    const readPresent = async (engineOf: EngineAddress[], inForce: number): Promise<PlacedExperts | undefined> => {
        if (present?.version === inForce) {
            return present.map;
        }
        if (inForce === 0) {
            present = { version: 0, map: mapInTurn(shape, ranks) };
            return present.map;
        }
        const lists = await Promise.all(engineOf.map(engine => engines.held(engine, signal)));
        const held = lists.flatMap(list => list.isOk() && list.value.version === inForce ? [list.value.experts] : []);
        if (held.length < ranks) {
            return undefined;
        }
        const map = [...Array(shape.layers).keys()].map(layer => held.map(experts => experts[layer] ?? []));
        present = { version: inForce, map };
        return map;
    };

    const round = async (engineOf: EngineAddress[]): Promise<void> => {
        const first = engineOf[0];
        const report = first === undefined ? undefined : await engines.report(first, signal);
        if (report === undefined || report.isErr()) {
            return;
        }
        see(report.value);
        if (!report.value.isOpen) {
            return;
        }
        const inForce = await readPresent(engineOf, report.value.mapInForce);
        if (inForce === undefined) {
            return;
        }
        const change = createRankSwitch({
            engines,
            members: () => engineOf,
            epoch,
            nextVersion,
            nextStep,
            clock,
            prepareMilliseconds,
            isBesideFirst: ownRank === 0,
        });
        const { group, held } = report.value;
        if (held !== undefined) {
            const isGone = await change.resolve(held, inForce, signal);
            metrics.count("experts_holds_resolved_total");
            log.belief("hold resolved", { group, epoch, step: held, isGone });
            return;
        }
        const taken = samples.samples();
        if (taken.length < leastSamples) {
            return;
        }
        const limits = { newPerRank: report.value.mapInForce === 0 ? newPerRankAtFirst : newPerRank, leastGain };
        const startedAt = clock.now();
        const plan = planFromSamples(inForce, taken, shape, limits);
        const { skewNow, skewPlanned, copies } = plan;
        metrics.observe("experts_planning", clock.now() - startedAt);
        if (copies === 0 || skewNow - skewPlanned < leastSkewGain) {
            return;
        }
        const version = nextVersion();
        const outcome = await change.run(version, plan.map, plan.copiesOfOneRank * copyMilliseconds, signal);
        if (outcome === "done") {
            present = { version, map: plan.map };
        }
        refusals = outcome === "refused" ? refusals + 1 : 0;
        highestVersion += outcome === "refused" ? ranks * 2 ** Math.min(refusals, largestJump) : 0;
        metrics.count(`experts_switches_total{outcome="${outcome}"}`);
        lastPlan = {
            group,
            epoch,
            version,
            outcome,
            copies,
            samples: taken.length,
            skewNow: Math.round(skewNow * 100) / 100,
            skewPlanned: Math.round(skewPlanned * 100) / 100,
            tookMilliseconds: Math.round(clock.now() - startedAt),
        };
        log.belief("expert map", lastPlan);
    };

    return {
        take: ({ report, engine, step, counts }) => {
            see(report);
            if (report.epoch === epoch) {
                engineOfRank.set(report.rank, engine);
                samples.take({ rank: report.rank, step, counts });
            }
        },
        run: async isActive => {
            while (!signal.aborted) {
                const engineOf = engineAddresses();
                if (isActive() && engineOf !== undefined) {
                    await round(engineOf);
                }
                await clock.sleep(roundMilliseconds, signal);
            }
        },
        status: () => ({ epoch, highestVersion, lastPlan }),
    };
};
