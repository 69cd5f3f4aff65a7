/**
 * Runs the model attempts of one agent so that a request that crashes upstreams can be told apart from the requests
 * that were in flight beside it.
 *
 * A request that is not suspected runs concurrently with others. When the upstream crashes, all requests in flight
 * become suspects. A suspect runs only alone on the upstream, in a trial that the quarantine stream grants.
 */
import { err, type Result } from "neverthrow";
import { type Refusal, refusal } from "../state/errors.js";
import type { Clock } from "../state/types.js";
import type { ModelAttempt } from "./attempts.js";
import type { ResponseStreamWriter, StreamResult } from "./modelAttemptTask.js";
import { createNotifier } from "./notifier.js";
import type { QuarantineRegistry, TrialEnd } from "./quarantineRegistry.js";

const retryAfterSeconds = 1;
const digestLengthInMessages = 16;
const capacityFreed = "capacity freed";

type ServeResult = Result<StreamResult, Refusal>;

export type ServeAttempt = (signal: AbortSignal) => Promise<ServeResult>;

export type CrashGuard = {
    /** Serves `attempt` concurrently with others or on trial; an error means that nothing was run. */
    run: (
        attempt: ModelAttempt,
        writer: ResponseStreamWriter,
        serve: ServeAttempt,
        signal: AbortSignal,
    ) => Promise<ServeResult>;
};

export type CrashGuardOptions = {
    host: string;
    clock: Clock;
    quarantineRegistry: QuarantineRegistry;
    heartbeatIntervalMilliseconds: number;
};

/** An attempt in flight; once it has been reported with a crash, it is not reported with another. */
type InFlightAttempt = { digest: string; isReported: boolean; };

const hasCrashed = (served: ServeResult): boolean =>
    served.isOk() && served.value.isErr() && served.value.error.kind === "crashed";

const hasCompleted = (served: ServeResult): boolean => served.isOk() && served.value.isOk();

const trialEndOf = (served: ServeResult): TrialEnd => {
    if (hasCompleted(served)) {
        return "completed";
    }
    return hasCrashed(served) ? "crashed" : "undecided";
};

export const createCrashGuard = (
    { host, clock, quarantineRegistry, heartbeatIntervalMilliseconds }: CrashGuardOptions,
): CrashGuard => {
    const notifier = createNotifier(clock);
    const inFlight = new Set<InFlightAttempt>();
    let isReservedForTrial = false;

    const quarantined = (digest: string): Refusal => refusal("quarantined", [digest.slice(0, digestLengthInMessages)]);

    const reportCrash = (attempt: InFlightAttempt): void => {
        if (attempt.isReported) {
            return;
        }
        const suspects = [...inFlight].filter(({ isReported }) => !isReported);
        suspects.forEach(suspect => suspect.isReported = true);
        quarantineRegistry.reportCrash(suspects.map(({ digest }) => digest));
    };

    const runConcurrently = async (digest: string, serve: ServeAttempt, signal: AbortSignal): Promise<ServeResult> => {
        const attempt: InFlightAttempt = { digest, isReported: false };
        inFlight.add(attempt);
        const served = await serve(signal);
        if (hasCrashed(served)) {
            reportCrash(attempt);
        }
        inFlight.delete(attempt);
        if (hasCompleted(served)) {
            quarantineRegistry.reportCompletion(digest);
        }
        notifier.notify(capacityFreed);
        return served;
    };

    /**
     * Waits until the upstream is idle and reserves it; returns `false` if the deadline passes or `signal` aborts
     * first.
     */
    const reserveUpstream = async (deadline: number, signal: AbortSignal): Promise<boolean> => {
        const isOver = (): boolean => signal.aborted || clock.now() >= deadline;
        while (isReservedForTrial && !isOver()) {
            await notifier.wait(capacityFreed, deadline - clock.now(), signal);
        }
        if (isOver()) {
            return false;
        }
        isReservedForTrial = true;
        while (inFlight.size > 0 && !isOver()) {
            await notifier.wait(capacityFreed, deadline - clock.now(), signal);
        }
        if (isOver()) {
            releaseUpstream();
            return false;
        }
        return true;
    };

    const releaseUpstream = (): void => {
        isReservedForTrial = false;
        notifier.notify(capacityFreed);
    };

    const runTrial = async (
        digest: string,
        serve: ServeAttempt,
        signal: AbortSignal,
    ): Promise<ServeResult | undefined> => {
        const trial = await quarantineRegistry.beginTrial(digest, signal);
        if (trial.isErr()) {
            return trial.error === "not-first"
                ? undefined
                : err(refusal("log-unavailable", ["quarantine"], retryAfterSeconds));
        }
        const served = await serve(signal);
        trial.value.end(trialEndOf(served));
        return served;
    };

    const runSuspect = async (
        { digest, timeoutMilliseconds }: ModelAttempt,
        serve: ServeAttempt,
        signal: AbortSignal,
    ): Promise<ServeResult> => {
        const deadline = clock.now() + timeoutMilliseconds;
        while (!signal.aborted && clock.now() < deadline) {
            const verdict = quarantineRegistry.verdict(digest);
            if (verdict === "quarantined") {
                return err(quarantined(digest));
            }
            if (verdict === "on-trial") {
                await quarantineRegistry.waitForChange(digest, deadline - clock.now(), signal);
                continue;
            }
            if (!await reserveUpstream(deadline, signal)) {
                break;
            }
            const served = await runTrial(digest, serve, signal);
            releaseUpstream();
            if (served !== undefined) {
                return served;
            }
        }
        return err(refusal("cannot-start-in-time", [host], retryAfterSeconds));
    };

    /** Signals to the entry that the agent is alive while the attempt waits for its trial. */
    const sendHeartbeats = async (writer: ResponseStreamWriter, signal: AbortSignal): Promise<void> => {
        while (!signal.aborted) {
            await clock.sleep(heartbeatIntervalMilliseconds, signal);
            if (!signal.aborted) {
                writer.heartbeat();
            }
        }
    };

    const run: CrashGuard["run"] = async (attempt, writer, serve, signal) => {
        const verdict = quarantineRegistry.verdict(attempt.digest);
        if (verdict === "quarantined") {
            return err(quarantined(attempt.digest));
        }
        if (verdict === "clear" && attempt.alone !== true) {
            // While a suspect runs on the upstream or waits for it, other requests are served elsewhere.
            return isReservedForTrial
                ? err(refusal("upstream-full", [host], retryAfterSeconds))
                : runConcurrently(attempt.digest, serve, signal);
        }
        const heartbeatController = new AbortController();
        void sendHeartbeats(writer, heartbeatController.signal);
        const served = await runSuspect(
            attempt,
            runSignal => {
                heartbeatController.abort();
                return serve(runSignal);
            },
            signal,
        );
        heartbeatController.abort();
        return served;
    };

    return { run };
};
