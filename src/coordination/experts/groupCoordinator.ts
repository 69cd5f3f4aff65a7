/**
 * Adapts the expert map of one group to its demand: samples the load, plans, switches maps, and resolves holds that
 * other coordinators left.
 *
 * Any number of agents may act as coordinator at once without harm (see `rankSwitch.ts`). The agents let the lowest
 * reachable rank coordinate only to save work.
 */
import type { ExpertShape } from "../../state/ingressTypes.js";
import type { Clock } from "../../state/types.js";
import type { IngressLog } from "../ingress/ingressLog.js";
import type { Metrics } from "../metrics.js";
import { createLoadSamples, type LoadSamples } from "./loadSamples.js";
import type { EngineAddress, ExpertPlacement, RankEngines, RankReport } from "./rankEngine.js";
import { createRankSwitch } from "./rankSwitch.js";
import { planFromSamples, roundRobinPlacement } from "./sampledPlacement.js";

/** Status and expert counts that the agent of one rank sends to the coordinator. */
export type RankUpdate = { report: RankReport; engine: EngineAddress; step: number; counts: number[]; };

export type GroupCoordinatorOptions = {
    ownRank: number;
    ranks: number;
    shape: ExpertShape;
    engines: RankEngines;
    /** Engines of the group as listed by the platform, by rank; undefined while one is unknown. */
    members: () => EngineAddress[] | undefined;
    clock: Clock;
    /** Unix time in seconds. Versions start from it, so that they exceed those of earlier runs of this agent. */
    timeOfDaySeconds: () => number;
    log: IngressLog;
    metrics: Metrics;
    signal: AbortSignal;
};

export type GroupCoordinator = {
    receiveUpdate: (update: RankUpdate) => void;
    /** Plans and switches while `isActive` returns true; resolves when the signal aborts. */
    run: (isActive: () => boolean) => Promise<void>;
    status: () => Record<string, unknown>;
};

const planningIntervalMilliseconds = 300;
/** Minimum number of samples to plan from, about half a second of steps. */
const minimumSamples = 2;
/** Maximum number of copies per rank and map. They take 0.75 s, well below the 3 s within which demand drifts. */
const copiesPerRank = 5;
/** Higher limit for the first map, since the initial map does not reflect the demand at all. */
const copiesPerRankForFirstMap = 14;
const minimumRelativeGain = 0.02;
/** Predicted reduction in skew below which a plan is not worth the copies and orders. */
const minimumSkewReduction = 0.12;
const prepareTimeoutMilliseconds = 9_000;
/** Exceeds the versions that a coordinator uses: every eighth one, at most once a second. */
const versionsPerSecond = 8;
/** November 2023. Counting from this time keeps versions below 2^31 until 2032. */
const versionOriginSeconds = 1_700_000_000;
/** Number of consecutive refusals after which the increment of the version no longer doubles. */
const maximumVersionJumpExponent = 16;

export const createGroupCoordinator = (options: GroupCoordinatorOptions): GroupCoordinator => {
    const { ownRank, ranks, shape, engines, members, clock, timeOfDaySeconds, log, metrics, signal } = options;
    const samples: LoadSamples = createLoadSamples(ranks);
    let epoch = -1;
    /** Engines refuse versions below any they have seen, including those of earlier epochs, which no report shows. */
    let highestVersion = 0;
    let consecutiveRefusals = 0;
    /** The map in force with its version; undefined while it must be read from the engines. */
    let currentMap: { version: number; map: ExpertPlacement; } | undefined;
    let lastPlan: Record<string, unknown> = {};
    /** Engines as reported by their agents, by rank; more recent than the platform list after a restart. */
    const reportedEngines = new Map<number, EngineAddress>();

    const resolveEngines = (): EngineAddress[] | undefined => {
        const reported = [...Array(ranks).keys()].map(rank => reportedEngines.get(rank));
        const listed = members();
        const known = reported.flatMap((engine, rank) => engine ?? listed?.[rank] ?? []);
        return known.length === ranks ? known : undefined;
    };

    const enterEpoch = (report: RankReport): void => {
        epoch = report.epoch;
        currentMap = undefined;
        reportedEngines.clear();
        samples.clear();
        log.stateChange("group formed", { group: report.group, epoch, isOpen: report.isOpen });
    };

    const observeReport = (report: RankReport): void => {
        if (report.epoch > epoch) {
            enterEpoch(report);
        }
        highestVersion = Math.max(highestVersion, report.mapInForce, report.prepared ?? 0, report.armed?.version ?? 0);
    };

    /**
     * Lowest number above `lowerBound` that belongs to this rank. Numbers are assigned to the ranks round-robin, so
     * that two coordinators never use the same version or step.
     */
    const nextOwnedNumber = (lowerBound: number): number =>
        lowerBound + 1 + (((ownRank - lowerBound - 1) % ranks) + ranks) % ranks;

    /**
     * Rank 0 may hold any even step, since it coordinates nearly always. The other ranks share the odd steps
     * round-robin.
     */
    const nextStep = (step: number, leadSteps: number): number => {
        const earliest = step + leadSteps;
        return ownRank === 0 ? earliest + earliest % 2 : 2 * nextOwnedNumber(Math.ceil(earliest / 2)) + 1;
    };

    const nextVersion = (): number => {
        highestVersion = nextOwnedNumber(
            Math.max(highestVersion, (timeOfDaySeconds() - versionOriginSeconds) * versionsPerSecond),
        );
        return highestVersion;
    };

    /** Reads the map in force from the engines, unless it is already known. */
    const readCurrentMap = async (
        enginesByRank: EngineAddress[],
        version: number,
    ): Promise<ExpertPlacement | undefined> => {
        if (currentMap?.version === version) {
            return currentMap.map;
        }
        if (version === 0) {
            currentMap = { version: 0, map: roundRobinPlacement(shape, ranks) };
            return currentMap.map;
        }
        const answers = await Promise.all(enginesByRank.map(engine => engines.placedExperts(engine, signal)));
        const expertsByRank = answers.flatMap(list =>
            list.isOk() && list.value.version === version ? [list.value.experts] : []
        );
        if (expertsByRank.length < ranks) {
            return undefined;
        }
        const map = [...Array(shape.layers).keys()].map(layer => expertsByRank.map(experts => experts[layer] ?? []));
        currentMap = { version, map };
        return map;
    };

    const planAndSwitch = async (enginesByRank: EngineAddress[]): Promise<void> => {
        const rank0 = enginesByRank[0];
        const rank0Report = rank0 === undefined ? undefined : await engines.report(rank0, signal);
        if (rank0Report === undefined || rank0Report.isErr()) {
            return;
        }
        observeReport(rank0Report.value);
        if (!rank0Report.value.isOpen) {
            return;
        }
        const currentPlacement = await readCurrentMap(enginesByRank, rank0Report.value.mapInForce);
        if (currentPlacement === undefined) {
            return;
        }
        const rankSwitch = createRankSwitch({
            engines,
            members: () => enginesByRank,
            epoch,
            nextVersion,
            nextStep,
            clock,
            prepareMilliseconds: prepareTimeoutMilliseconds,
            isColocatedWithRank0: ownRank === 0,
        });
        const { group, held } = rank0Report.value;
        if (held !== undefined) {
            const isGone = await rankSwitch.resolve(held, currentPlacement, signal);
            metrics.count("experts_holds_resolved_total");
            log.stateChange("hold resolved", { group, epoch, step: held, isGone });
            return;
        }
        const windowSamples = samples.samples();
        if (windowSamples.length < minimumSamples) {
            return;
        }
        const limits = {
            maximumCopiesPerRank: rank0Report.value.mapInForce === 0 ? copiesPerRankForFirstMap : copiesPerRank,
            minimumRelativeGain,
        };
        const startedAt = clock.now();
        const plan = planFromSamples(currentPlacement, windowSamples, shape, limits);
        const { skewNow, skewPlanned, copies } = plan;
        metrics.observe("experts_planning", clock.now() - startedAt);
        if (copies === 0 || skewNow - skewPlanned < minimumSkewReduction) {
            return;
        }
        const version = nextVersion();
        const outcome = await rankSwitch.run(
            version,
            plan.map,
            plan.largestCopiesOnOneRank * shape.loadMilliseconds,
            signal,
        );
        if (outcome === "done") {
            currentMap = { version, map: plan.map };
        }
        consecutiveRefusals = outcome === "refused" ? consecutiveRefusals + 1 : 0;
        highestVersion += outcome === "refused"
            ? ranks * 2 ** Math.min(consecutiveRefusals, maximumVersionJumpExponent)
            : 0;
        metrics.count(`experts_switches_total{outcome="${outcome}"}`);
        lastPlan = {
            group,
            epoch,
            version,
            outcome,
            copies,
            samples: windowSamples.length,
            skewNow: Math.round(skewNow * 100) / 100,
            skewPlanned: Math.round(skewPlanned * 100) / 100,
            tookMilliseconds: Math.round(clock.now() - startedAt),
        };
        log.stateChange("expert map", lastPlan);
    };

    return {
        receiveUpdate: ({ report, engine, step, counts }) => {
            observeReport(report);
            if (report.epoch === epoch) {
                reportedEngines.set(report.rank, engine);
                samples.add({ rank: report.rank, step, counts });
            }
        },
        run: async isActive => {
            while (!signal.aborted) {
                const enginesByRank = resolveEngines();
                if (isActive() && enginesByRank !== undefined) {
                    await planAndSwitch(enginesByRank);
                }
                await clock.sleep(planningIntervalMilliseconds, signal);
            }
        },
        status: () => ({ epoch, highestVersion, lastPlan }),
    };
};
