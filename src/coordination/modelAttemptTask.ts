/**
 * Serves one model attempt at an agent, from admission to the closing frame.
 *
 * The response stream opens with its first token or heartbeat. A failure before that, if it is certain that nothing
 * ran, is a plain refusal; any other failure is a closing frame that tells the entry to resume on another upstream.
 */
import { err, ok, type Result } from "neverthrow";
import { type Refusal, refusal } from "../state/errors.js";
import type { Clock } from "../state/types.js";
import type { AdmissionController, AdmissionRefusal, Permit, PermitOutcome } from "./admissionController.js";
import type { AttemptFailure, ModelAttempt, ModelCompletion } from "./attempts.js";
import { confirmCrash } from "./crashCheck.js";
import type { EngineClient, UpstreamFailure } from "./upstreamClients.js";

/** How the response stream ends, for the closing frame. */
export type StreamResult = Result<ModelCompletion, AttemptFailure>;

/** Writes one response to the entry. */
export type ResponseStreamWriter = {
    isOpen: () => boolean;
    token: (index: number, text: string) => void;
    heartbeat: () => void;
};

export type ModelAttemptDependencies = {
    host: string;
    admissionController: AdmissionController;
    engine: EngineClient;
    clock: Clock;
    heartbeatIntervalMilliseconds: number;
    /** Requests a load report from the engine at once, after one of its connections broke. */
    pollEngineNow: () => void;
};

const retryAfterSeconds = 1;
/** Abort reason; without one, each abort creates an error with a stack trace. */
const attemptFinishedReason = "the attempt has finished";

export const admissionRefusals: Record<AdmissionRefusal, (host: string) => Refusal> = {
    full: host => refusal("upstream-full", [host], retryAfterSeconds),
    draining: host => refusal("upstream-draining", [host], retryAfterSeconds),
    down: host => refusal("no-upstream", [host], retryAfterSeconds),
};

/** Serves `attempt`; an error means that nothing ran and that the stream was never opened. */
export const serveModelAttempt = async (
    dependencies: ModelAttemptDependencies,
    attempt: ModelAttempt,
    writer: ResponseStreamWriter,
    signal: AbortSignal,
): Promise<Result<StreamResult, Refusal>> => {
    const admission = dependencies.admissionController.admit({
        tokens: attempt.maximumTokens - attempt.resumeFrom,
        migratable: true,
    });
    if (admission.isErr()) {
        return err(admissionRefusals[admission.error](dependencies.host));
    }
    const permit = admission.value;
    const timeout = new AbortController();
    const stopSignal = AbortSignal.any([signal, permit.migrationSignal, timeout.signal]);
    const finishedController = new AbortController();
    void abortAfter(dependencies.clock, attempt.timeoutMilliseconds, timeout, finishedController.signal);
    void sendHeartbeats(dependencies, writer, finishedController.signal);

    const generation = await generate(dependencies, attempt, permit, writer, stopSignal);
    finishedController.abort(attemptFinishedReason);
    if (generation.isOk()) {
        permit.release({ result: "completed", tokens: generation.value.tokens - attempt.resumeFrom });
        return ok(ok({ ...generation.value, load: dependencies.admissionController.load() }));
    }
    permit.release({
        result: stopSignal.aborted ? "cancelled" : permitResultOfFailure[generation.error.kind],
        tokens: 0,
    });
    if (permit.migrationSignal.aborted) {
        return ok(err({ kind: "moved", load: dependencies.admissionController.load() }));
    }
    return concludeFailure(dependencies, generation.error, writer.isOpen());
};

const permitResultOfFailure: Record<UpstreamFailure["kind"], PermitOutcome["result"]> = {
    unreachable: "crashed",
    crashed: "crashed",
    cut: "failed",
    refused: "failed",
};

const generate = async (
    dependencies: ModelAttemptDependencies,
    attempt: ModelAttempt,
    permit: Permit,
    writer: ResponseStreamWriter,
    signal: AbortSignal,
): Promise<Result<{ tokens: number; finishReason: string; }, UpstreamFailure>> => {
    let observedIncarnation: string | undefined;
    const generation = await dependencies.engine.generate(
        attempt,
        incarnation => {
            observedIncarnation = incarnation;
            dependencies.admissionController.observeIncarnation(incarnation);
        },
        (index, text) => {
            permit.recordTokens(1);
            writer.token(index, text);
        },
        signal,
    );
    return generation.isOk()
        ? generation
        : err(await confirmCrash(dependencies.engine, generation.error, observedIncarnation, signal));
};

const abortAfter = async (
    clock: Clock,
    milliseconds: number,
    controller: AbortController,
    finished: AbortSignal,
): Promise<void> => {
    await clock.sleep(milliseconds, finished);
    if (!finished.aborted) {
        controller.abort();
    }
};

const sendHeartbeats = async (
    dependencies: ModelAttemptDependencies,
    writer: ResponseStreamWriter,
    finished: AbortSignal,
): Promise<void> => {
    while (!finished.aborted) {
        await dependencies.clock.sleep(dependencies.heartbeatIntervalMilliseconds, finished);
        if (!finished.aborted) {
            writer.heartbeat();
        }
    }
};

const concludeFailure = (
    dependencies: ModelAttemptDependencies,
    failure: UpstreamFailure,
    isOpen: boolean,
): Result<StreamResult, Refusal> => {
    if (failure.kind === "crashed" || failure.kind === "unreachable") {
        dependencies.pollEngineNow();
    }
    const nothingRan = failure.kind === "unreachable" || failure.kind === "refused";
    if (nothingRan && !isOpen) {
        return err(refusal("no-upstream", [dependencies.host], retryAfterSeconds));
    }
    return ok(err({ kind: failure.kind === "crashed" ? "crashed" : "cut", reason: failure.reason }));
};
