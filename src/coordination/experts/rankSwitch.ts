/**
 * Switches a lock-step group from one expert map to the next, by orders to the engines of all ranks.
 *
 * No step may begin while two ranks have different maps, even if orders are lost, delayed or repeated, and whichever
 * process fails. Rank 0 decides: a `hold` on rank 0 keeps a step from beginning, and `arm` on rank 0 commits the switch
 * at that step.
 *
 * 1. Every rank prepares the map under a version that no other coordinator uses, rank 0 first.
 * 2. Rank 0 is held at an upcoming step. An engine has one hold at a time, and coordinators use different steps, so a
 *    coordinator that gets its hold is the only one.
 * 3. Rank 0 is armed, then the others. The step is released only after every rank has confirmed.
 *
 * A coordinator that finds a hold it did not set resolves it. If rank 0 is armed, and the others are armed for that map
 * or have it prepared, it rolls forward: it arms the remaining ranks and releases the step. Otherwise it rolls back:
 * the armed ranks are disarmed, and all ranks prepare the current map under a new version, rank 0 first. From then on
 * every engine refuses late orders for the old version, so the step can be released. Rolling forward and rolling back
 * exclude each other: an armed rank refuses to prepare, and a rank that has prepared another version refuses to be
 * armed.
 *
 * Every order names the epoch. A group that forms again discards its maps, holds and orders, and refuses orders of
 * earlier epochs.
 */
import type { Result } from "neverthrow";
import type { Clock } from "../../state/types.js";
import type {
    EngineAddress,
    EngineOrder,
    ExpertPlacement,
    OrderOutcome,
    RankEngines,
    RankReport,
} from "./rankEngine.js";

/**
 * `done`: the switch is committed and released; `refused`: no hold was set; `open`: a hold may remain and must be
 * resolved.
 */
export type SwitchOutcome = "done" | "refused" | "open";

export type RankSwitch = {
    /** Switches all ranks to `map` under `version`. Copying its experts takes about `copyMilliseconds`. */
    run: (
        version: number,
        map: ExpertPlacement,
        copyMilliseconds: number,
        signal: AbortSignal,
    ) => Promise<SwitchOutcome>;
    /** Resolves a hold at `step` that no coordinator works on; returns whether the hold is gone. */
    resolve: (step: number, currentPlacement: ExpertPlacement, signal: AbortSignal) => Promise<boolean>;
};

export type RankSwitchOptions = {
    engines: RankEngines;
    /** Engines of the group, by rank. */
    members: () => EngineAddress[];
    epoch: number;
    /** Returns a version above all known ones that no other coordinator uses. */
    nextVersion: () => number;
    /** Returns a step at least `leadSteps` after `step` that no other coordinator holds. */
    nextStep: (step: number, leadSteps: number) => number;
    clock: Clock;
    /** Time limit for preparing a map on all ranks. */
    prepareMilliseconds: number;
    /** Whether rank 0 runs on the same machine as this agent, where its reports are current. */
    isColocatedWithRank0: boolean;
};

/** Steps between the report of rank 0 and the hold, so that the orders arrive before the step would begin. */
const localLeadSteps = 3;
/** Age of a report that is read from another machine. */
const reportAgeMilliseconds = 200;
/** Three more steps have begun since a report from another machine. */
const remoteLeadSteps = 7;
/** Time limit for the held step to begin after its release; a busy group runs ten or more steps per second. */
const switchTimeoutMilliseconds = 2_500;
const maximumOrderAttempts = 8;
const retryMilliseconds = 60;
const pollMilliseconds = 150;

export const createRankSwitch = (options: RankSwitchOptions): RankSwitch => {
    const {
        engines,
        members,
        epoch,
        nextVersion,
        nextStep,
        clock,
        prepareMilliseconds,
        isColocatedWithRank0,
    } = options;

    /** Repeats an order until it is answered; orders are idempotent. */
    const sendOrder = async (
        engine: EngineAddress,
        engineOrder: EngineOrder,
        signal: AbortSignal,
    ): Promise<OrderOutcome | "unknown"> => {
        for (let attempt = 0; attempt < maximumOrderAttempts && !signal.aborted; attempt += 1) {
            const outcome = await engines.order(engine, epoch, engineOrder, signal);
            if (outcome.isOk()) {
                return outcome.value;
            }
            await clock.sleep(retryMilliseconds, signal);
        }
        return "unknown";
    };

    const readReports = (signal: AbortSignal): Promise<Result<RankReport, string>[]> =>
        Promise.all(members().map(engine => engines.report(engine, signal)));

    /**
     * Waits until every rank has reported `version` as prepared and nothing as armed. A rank that has is not asked again;
     * should it lose the map meanwhile, it refuses to be armed.
     */
    const awaitPrepared = async (version: number, copyMilliseconds: number, signal: AbortSignal): Promise<boolean> => {
        const deadline = clock.now() + prepareMilliseconds;
        // Reading reports from other machines is charged for, and none can show the map before the copies are done.
        await clock.sleep(copyMilliseconds + reportAgeMilliseconds, signal);
        let pending = members();
        while (clock.now() < deadline && !signal.aborted) {
            const reports = await Promise.all(pending.map(engine => engines.report(engine, signal)));
            if (reports.some(report => report.isOk() && report.value.epoch !== epoch)) {
                return false;
            }
            pending = pending.filter((engine, index) => {
                const report = reports[index];
                return report === undefined || report.isErr() || report.value.prepared !== version
                    || report.value.armed !== undefined;
            });
            if (pending.length === 0) {
                return true;
            }
            await clock.sleep(pollMilliseconds, signal);
        }
        return false;
    };

    /** Waits until rank 0 has begun the step; until then no rank accepts another map. */
    const awaitInForce = async (version: number, signal: AbortSignal): Promise<void> => {
        const deadline = clock.now() + switchTimeoutMilliseconds;
        const [rank0] = members();
        while (rank0 !== undefined && clock.now() < deadline && !signal.aborted) {
            const report = await engines.report(rank0, signal);
            if (report.isOk() && report.value.mapInForce === version) {
                return;
            }
            await clock.sleep(retryMilliseconds, signal);
        }
    };

    /** Has all ranks prepare `map`, rank 0 before the others; returns false if one refuses or the time limit passes. */
    const prepareAll = async (
        version: number,
        map: ExpertPlacement,
        copyMilliseconds: number,
        signal: AbortSignal,
    ): Promise<boolean> => {
        const [rank0, ...others] = members();
        const prepareOrder: EngineOrder = { kind: "prepare", version, map };
        if (rank0 === undefined || await sendOrder(rank0, prepareOrder, signal) === "refused") {
            return false;
        }
        const outcomes = await Promise.all(others.map(engine => sendOrder(engine, prepareOrder, signal)));
        // For a rank that did not respond, its report shows whether it has prepared the map.
        return !outcomes.includes("refused") && awaitPrepared(version, copyMilliseconds, signal);
    };

    /** Releases the step. A refusal counts as released, since the engine then does not hold that step. */
    const release = async (step: number, signal: AbortSignal): Promise<boolean> => {
        const [rank0] = members();
        return rank0 !== undefined && await sendOrder(rank0, { kind: "release", step }, signal) !== "unknown";
    };

    const armOthers = async (version: number, step: number, signal: AbortSignal): Promise<boolean> => {
        const outcomes = await Promise.all(
            members().slice(1).map(engine => sendOrder(engine, { kind: "arm", version, step }, signal)),
        );
        return outcomes.every(outcome => outcome === "done");
    };

    const rollBack = async (step: number, currentPlacement: ExpertPlacement, signal: AbortSignal): Promise<boolean> => {
        const all = await readReports(signal);
        const engineAddresses = members();
        for (const [rank, report] of all.entries()) {
            const engine = engineAddresses[rank];
            if (engine !== undefined && report.isOk() && report.value.armed !== undefined) {
                await sendOrder(engine, { kind: "disarm", version: report.value.armed.version }, signal);
            }
        }
        return await prepareAll(nextVersion(), currentPlacement, 0, signal) && release(step, signal);
    };

    return {
        run: async (version, map, copyMilliseconds, signal) => {
            const [rank0] = members();
            if (rank0 === undefined || !await prepareAll(version, map, copyMilliseconds, signal)) {
                return "refused";
            }
            const rank0Report = await engines.report(rank0, signal);
            if (rank0Report.isErr() || rank0Report.value.epoch !== epoch) {
                return "refused";
            }
            const step = nextStep(rank0Report.value.step, isColocatedWithRank0 ? localLeadSteps : remoteLeadSteps);
            const held = await sendOrder(rank0, { kind: "hold", step }, signal);
            if (held !== "done") {
                return held === "refused" ? "refused" : "open";
            }
            const rank0Armed = await sendOrder(rank0, { kind: "arm", version, step }, signal);
            const areAllArmed = rank0Armed === "done" && await armOthers(version, step, signal);
            if (!areAllArmed || !await release(step, signal)) {
                return "open";
            }
            await awaitInForce(version, signal);
            return "done";
        },
        resolve: async (step, currentPlacement, signal) => {
            const all = await readReports(signal);
            const [rank0Report] = all;
            if (rank0Report === undefined || rank0Report.isErr() || rank0Report.value.epoch !== epoch) {
                return false;
            }
            if (rank0Report.value.held !== step) {
                return true;
            }
            const version = rank0Report.value.armed?.version;
            const canRollForward = version !== undefined
                && all.every(report =>
                    report.isOk() && (report.value.armed?.version === version || report.value.prepared === version)
                );
            if (canRollForward) {
                return await armOthers(version, step, signal) && release(step, signal);
            }
            const canRollBack = version === undefined || all.every(report => report.isOk());
            return canRollBack && rollBack(step, currentPlacement, signal);
        },
    };
};
