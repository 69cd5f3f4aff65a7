/**
 * Takes a lock-step group from one expert map to the next, with orders to the engines of all ranks.
 *
 * No pass may begin while two ranks have different maps, whatever is lost, late or done twice, and whoever dies. Rank 0
 * decides: `hold` there keeps a pass from beginning, and `arm` there commits the switch at that pass.
 *
 * 1. Every rank prepares the map under a version that no other coordinator uses, rank 0 first.
 * 2. Rank 0 is held at a pass ahead. An engine has one hold at a time, and coordinators use different passes, so one
 *    that gets its hold is alone.
 * 3. Rank 0 is armed, then the others. Only when each has said so itself is the pass released.
 *
 * Whoever finds a hold that it did not set resolves it. While rank 0 is armed and the others are armed or have that map
 * prepared, the way is forward: the rest are armed and the pass is released. Otherwise the armed ranks are disarmed and
 * all prepare the present map under a new version, rank 0 first; a late order about the old version is refused by every
 * engine from then on, so the pass can be released. The two ways exclude each other: an armed rank refuses to prepare,
 * and one that has prepared another version refuses to be armed.
 *
 * Every order names the epoch; a group that forms anew forgets maps, holds and orders, and refuses those of before.
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

/** `done`: the new map is in force; `refused`: nothing was held; `open`: a hold may stand and must be resolved. */
export type SwitchOutcome = "done" | "refused" | "open";

export type RankSwitch = {
    /** Switches all ranks to `map` under `version`, whose copies take `copyMilliseconds`. */
    run: (
        version: number,
        map: ExpertPlacement,
        copyMilliseconds: number,
        signal: AbortSignal,
    ) => Promise<SwitchOutcome>;
    /** Ends a hold at `step` that has nobody who works on it; gives whether it is gone. */
    resolve: (step: number, present: ExpertPlacement, signal: AbortSignal) => Promise<boolean>;
};

export type RankSwitchOptions = {
    engines: RankEngines;
    /** The engines of the group, by rank. */
    members: () => EngineAddress[];
    epoch: number;
    /** A version above all that were seen, which no other coordinator uses. */
    nextVersion: () => number;
    /** A pass at least `lead` after `step`, which no other coordinator holds. */
    nextStep: (step: number, leadSteps: number) => number;
    clock: Clock;
    /** How long the copies of a map may take, in milliseconds. */
    prepareMilliseconds: number;
    /** Whether rank 0 is on this agent's own machine, where its reports are fresh. */
    isColocatedWithRank0: boolean;
};

/** Passes between the report and the hold, so that the orders arrive before the pass would begin. */
const localLeadSteps = 3;
/** From afar a report is some 200 ms old, and three more passes have begun since. */
const remoteLeadSteps = 7;
/** Until the pass of a switch has begun on all ranks; a busy group takes ten passes or more a second. */
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
        isColocatedWithRank0: isBesideFirst,
    } = options;

    /** Gives an order until it is answered; an order of this kind may be given twice. */
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

    /** Waits until every rank reports `version` prepared and nothing armed. */
    const awaitPrepared = async (version: number, copyMilliseconds: number, signal: AbortSignal): Promise<boolean> => {
        const deadline = clock.now() + prepareMilliseconds;
        // Reports from afar are priced, and none can be done before its copies are.
        await clock.sleep(copyMilliseconds, signal);
        while (clock.now() < deadline && !signal.aborted) {
            const all = await readReports(signal);
            const isPrepared = all.every(report =>
                report.isOk() && report.value.prepared === version && report.value.armed === undefined
            );
            if (isPrepared) {
                return true;
            }
            if (all.some(report => report.isOk() && report.value.epoch !== epoch)) {
                return false;
            }
            await clock.sleep(pollMilliseconds, signal);
        }
        return false;
    };

    /** Waits until rank 0 has begun the pass; until then no rank takes another map. */
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

    /** Has all ranks prepare `map`, rank 0 before the others; false if one refuses. */
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
        // A rank that gave no answer shows in its report whether it prepared.
        return !outcomes.includes("refused") && awaitPrepared(version, copyMilliseconds, signal);
    };

    /** Releases the pass; also done where the engine refuses, as it holds none then. */
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

    const rollBack = async (step: number, present: ExpertPlacement, signal: AbortSignal): Promise<boolean> => {
        const all = await readReports(signal);
        const engineAddresses = members();
        for (const [rank, report] of all.entries()) {
            const engine = engineAddresses[rank];
            if (engine !== undefined && report.isOk() && report.value.armed !== undefined) {
                await sendOrder(engine, { kind: "disarm", version: report.value.armed.version }, signal);
            }
        }
        return await prepareAll(nextVersion(), present, 0, signal) && release(step, signal);
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
            const step = nextStep(rank0Report.value.step, isBesideFirst ? localLeadSteps : remoteLeadSteps);
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
        resolve: async (step, present, signal) => {
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
            return canRollBack && rollBack(step, present, signal);
        },
    };
};
