/**
 * Runs the model attempts of one agent so that a request that crashes upstreams is told apart from its bystanders.
 *
 * A request of which nothing is known runs beside others. When the upstream crashes, all that were in flight become
 * suspects. A suspect runs only with nothing beside it and under a trial that the quarantine stream grants.
 */
import { err, type Result } from "neverthrow";
import { type Refusal, refusal } from "../state/errors.js";
import type { Clock } from "../state/types.js";
import type { ModelAttempt } from "./attempts.js";
import { createChanges } from "./changes.js";
import type { AnswerWriter, StreamEnding } from "./modelAttemptTask.js";
import type { QuarantineKeeper, TrialEnd } from "./quarantineKeeper.js";

const comeBackSeconds = 1;
const digestLengthInMessages = 16;
const placeFree = "place free";

type Served = Result<StreamEnding, Refusal>;

export type ServeAttempt = (signal: AbortSignal) => Promise<Served>;

export type CrashGuard = {
    /** Serves `attempt` beside others or on trial; an error means that nothing ran. */
    run: (attempt: ModelAttempt, writer: AnswerWriter, serve: ServeAttempt, signal: AbortSignal) => Promise<Served>;
};

export type CrashGuardOptions = {
    host: string;
    clock: Clock;
    keeper: QuarantineKeeper;
    heartbeatMilliseconds: number;
};

/** An attempt in flight; one that was reported with a crash belongs to no other crash. */
type Flight = { digest: string; isReported: boolean; };

const hasCrashed = (served: Served): boolean =>
    served.isOk() && served.value.isErr() && served.value.error.kind === "crashed";

const hasCompleted = (served: Served): boolean => served.isOk() && served.value.isOk();

const trialEnd = (served: Served): TrialEnd => {
    if (hasCompleted(served)) {
        return "completed";
    }
    return hasCrashed(served) ? "crashed" : "undecided";
};

export const createCrashGuard = ({ host, clock, keeper, heartbeatMilliseconds }: CrashGuardOptions): CrashGuard => {
    const changes = createChanges(clock);
    const inFlight = new Set<Flight>();
    let isPlaceTaken = false;

    const quarantined = (digest: string): Refusal => refusal("quarantined", [digest.slice(0, digestLengthInMessages)]);

    const reportCrash = (flight: Flight): void => {
        if (flight.isReported) {
            return;
        }
        const suspects = [...inFlight].filter(({ isReported }) => !isReported);
        suspects.forEach(suspect => suspect.isReported = true);
        keeper.reportCrash(suspects.map(({ digest }) => digest));
    };

    const runBeside = async (digest: string, serve: ServeAttempt, signal: AbortSignal): Promise<Served> => {
        const flight: Flight = { digest, isReported: false };
        inFlight.add(flight);
        const served = await serve(signal);
        if (hasCrashed(served)) {
            reportCrash(flight);
        }
        inFlight.delete(flight);
        if (hasCompleted(served)) {
            keeper.reportCompletion(digest);
        }
        changes.announce(placeFree);
        return served;
    };

    /** Waits until the whole upstream is free, and keeps it; `false` when the time is up. */
    const takePlace = async (deadline: number, signal: AbortSignal): Promise<boolean> => {
        const isOver = (): boolean => signal.aborted || clock.now() >= deadline;
        while (isPlaceTaken && !isOver()) {
            await changes.wait(placeFree, deadline - clock.now(), signal);
        }
        if (isOver()) {
            return false;
        }
        isPlaceTaken = true;
        while (inFlight.size > 0 && !isOver()) {
            await changes.wait(placeFree, deadline - clock.now(), signal);
        }
        if (isOver()) {
            leavePlace();
            return false;
        }
        return true;
    };

    const leavePlace = (): void => {
        isPlaceTaken = false;
        changes.announce(placeFree);
    };

    const runTrial = async (digest: string, serve: ServeAttempt, signal: AbortSignal): Promise<Served | undefined> => {
        const trial = await keeper.beginTrial(digest, signal);
        if (trial.isErr()) {
            return trial.error === "not-first"
                ? undefined
                : err(refusal("log-unavailable", ["quarantine"], comeBackSeconds));
        }
        const served = await serve(signal);
        trial.value.end(trialEnd(served));
        return served;
    };

    const runSuspect = async (
        { digest, timeoutMilliseconds }: ModelAttempt,
        serve: ServeAttempt,
        signal: AbortSignal,
    ): Promise<Served> => {
        const deadline = clock.now() + timeoutMilliseconds;
        while (!signal.aborted && clock.now() < deadline) {
            const verdict = keeper.verdict(digest);
            if (verdict === "quarantined") {
                return err(quarantined(digest));
            }
            if (verdict === "on-trial") {
                await keeper.changed(digest, deadline - clock.now(), signal);
                continue;
            }
            if (!await takePlace(deadline, signal)) {
                break;
            }
            const served = await runTrial(digest, serve, signal);
            leavePlace();
            if (served !== undefined) {
                return served;
            }
        }
        return err(refusal("cannot-start-in-time", [host], comeBackSeconds));
    };

    /** Tells the entry that the agent is alive while the attempt waits for its trial. */
    const sendHeartbeats = async (writer: AnswerWriter, waiting: AbortSignal): Promise<void> => {
        while (!waiting.aborted) {
            await clock.sleep(heartbeatMilliseconds, waiting);
            if (!waiting.aborted) {
                writer.heartbeat();
            }
        }
    };

    const run: CrashGuard["run"] = async (attempt, writer, serve, signal) => {
        const verdict = keeper.verdict(attempt.digest);
        if (verdict === "quarantined") {
            return err(quarantined(attempt.digest));
        }
        if (verdict === "clear" && attempt.alone !== true) {
            // While a suspect has or awaits the upstream, others are served elsewhere.
            return isPlaceTaken
                ? err(refusal("upstream-full", [host], comeBackSeconds))
                : runBeside(attempt.digest, serve, signal);
        }
        const waiting = new AbortController();
        void sendHeartbeats(writer, waiting.signal);
        const served = await runSuspect(
            attempt,
            runSignal => {
                waiting.abort();
                return serve(runSignal);
            },
            signal,
        );
        waiting.abort();
        return served;
    };

    return { run };
};
