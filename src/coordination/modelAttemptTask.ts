/**
 * The task that serves one model attempt at an agent, from admission to the closing frame.
 *
 * The answer's stream opens with its first token or heartbeat. A failure before that, if it is certain that nothing ran,
 * is still a plain refusal; a later one is a closing frame that tells the entry to resume elsewhere.
 */
import { err, ok, type Result } from "neverthrow";
import { type Refusal, refusal } from "../state/errors.js";
import type { Clock } from "../state/types.js";
import type { AdmissionGate, AdmissionRefusal, Evidence, Permit } from "./admissionGate.js";
import type { AttemptFailure, ModelAttempt, ModelEnd } from "./attempts.js";
import { confirmCrash } from "./crashCheck.js";
import type { EngineClient, UpstreamFailure } from "./upstreamClients.js";

/** How an answer whose stream has opened ends. */
export type StreamEnding = Result<ModelEnd, AttemptFailure>;

/** Writes one answer towards the entry. */
export type AnswerWriter = {
    isOpen: () => boolean;
    token: (index: number, text: string) => void;
    heartbeat: () => void;
};

export type ModelAttemptTools = {
    host: string;
    gate: AdmissionGate;
    engine: EngineClient;
    clock: Clock;
    heartbeatMilliseconds: number;
    /** Asks the engine for a report now, since one of its connections broke. */
    checkEngine: () => void;
};

const comeBackSeconds = 1;
/** Reason of a signal's abort; without one, each abort builds an error with its stack. */
const attemptFinished = "the attempt has finished";

/** The refusal for each reason of the admission gate. */
export const admissionRefusals: Record<AdmissionRefusal, (host: string) => Refusal> = {
    full: host => refusal("upstream-full", [host], comeBackSeconds),
    draining: host => refusal("upstream-draining", [host], comeBackSeconds),
    down: host => refusal("no-upstream", [host], comeBackSeconds),
};

/** Serves `attempt`; an error means that nothing ran and that the stream was never opened. */
export const serveModelAttempt = async (
    tools: ModelAttemptTools,
    attempt: ModelAttempt,
    writer: AnswerWriter,
    signal: AbortSignal,
): Promise<Result<StreamEnding, Refusal>> => {
    const admission = tools.gate.admit({ tokens: attempt.maximumTokens - attempt.resumeFrom, movable: true });
    if (admission.isErr()) {
        return err(admissionRefusals[admission.error](tools.host));
    }
    const permit = admission.value;
    const timeout = new AbortController();
    const stopping = AbortSignal.any([signal, permit.moved, timeout.signal]);
    const finished = new AbortController();
    void abortAfter(tools.clock, attempt.timeoutMilliseconds, timeout, finished.signal);
    void sendHeartbeats(tools, writer, finished.signal);

    const generated = await generate(tools, attempt, permit, writer, stopping);
    finished.abort(attemptFinished);
    if (generated.isOk()) {
        permit.finish({ result: "completed", tokens: generated.value.tokens - attempt.resumeFrom });
        return ok(ok({ ...generated.value, load: tools.gate.load() }));
    }
    permit.finish({ result: stopping.aborted ? "cancelled" : evidenceOfFailure[generated.error.kind], tokens: 0 });
    if (permit.moved.aborted) {
        return ok(err({ kind: "moved", load: tools.gate.load() }));
    }
    return concludeFailure(tools, generated.error, writer.isOpen());
};

const evidenceOfFailure: Record<UpstreamFailure["kind"], Evidence["result"]> = {
    unreachable: "crashed",
    crashed: "crashed",
    cut: "failed",
    refused: "failed",
};

const generate = async (
    tools: ModelAttemptTools,
    attempt: ModelAttempt,
    permit: Permit,
    writer: AnswerWriter,
    signal: AbortSignal,
): Promise<Result<{ tokens: number; finishReason: string; }, UpstreamFailure>> => {
    let seen: string | undefined;
    const generated = await tools.engine.generate(
        attempt,
        incarnation => {
            seen = incarnation;
            tools.gate.observeIncarnation(incarnation);
        },
        (index, text) => {
            permit.progress(1);
            writer.token(index, text);
        },
        signal,
    );
    return generated.isOk() ? generated : err(await confirmCrash(tools.engine, generated.error, seen, signal));
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

const sendHeartbeats = async (tools: ModelAttemptTools, writer: AnswerWriter, finished: AbortSignal): Promise<void> => {
    while (!finished.aborted) {
        await tools.clock.sleep(tools.heartbeatMilliseconds, finished);
        if (!finished.aborted) {
            writer.heartbeat();
        }
    }
};

const concludeFailure = (
    tools: ModelAttemptTools,
    failure: UpstreamFailure,
    isOpen: boolean,
): Result<StreamEnding, Refusal> => {
    if (failure.kind === "crashed" || failure.kind === "unreachable") {
        tools.checkEngine();
    }
    const ranNothing = failure.kind === "unreachable" || failure.kind === "refused";
    if (ranNothing && !isOpen) {
        return err(refusal("no-upstream", [tools.host], comeBackSeconds));
    }
    return ok(err({ kind: failure.kind === "crashed" ? "crashed" : "cut", reason: failure.reason }));
};
