/**
 * Runs one non-idempotent call at an agent: claims the key, calls the service once and records the result.
 */
import { err, ok, type Result } from "neverthrow";
import type { Refusal } from "../state/errors.js";
import type { Clock } from "../state/types.js";
import type { ServiceResponse } from "./attempts.js";
import type { ClaimRegistry, ClaimRequest, RunPermit } from "./claims.js";
import type { AtMostOnceRunner, ServiceCall, ServiceFailure } from "./serviceAttemptTask.js";

/** Share of an attempt's time that is reserved for its answer to reach the entry. */
const answerTimeShare = 0.05;
/** Maximum duration of a run from its start, even if its caller no longer waits. */
const runTimeoutMilliseconds = 120_000;

const endPermit: Record<ServiceFailure["kind"], (permit: RunPermit) => void> = {
    "refused": permit => permit.release(),
    "may-have-run": permit => permit.markAnswerLost(),
};

const failureOf = (refused: Refusal): ServiceFailure =>
    refused.outcome === "not-run"
        ? { kind: "refused", refusal: refused }
        : { kind: "may-have-run", reason: refused.message };

/**
 * Returns the answer of the single run of the key, whichever agent and request it ran for. `call` is invoked at most
 * once, and only with a permit. A run outlives the request that started it, so that a resend gets its answer.
 */
export const runAtMostOnce = async (
    registry: ClaimRegistry,
    request: ClaimRequest,
    call: ServiceCall,
    signal: AbortSignal,
): Promise<Result<ServiceResponse, ServiceFailure>> => {
    const decision = await registry.claim(request, signal);
    if (decision.isErr()) {
        return err(failureOf(decision.error));
    }
    if (decision.value.kind === "replay") {
        return ok(decision.value.answer);
    }
    const { permit } = decision.value;
    const answered = await call(AbortSignal.timeout(runTimeoutMilliseconds));
    answered.match(permit.complete, ({ kind }) => endPermit[kind](permit));
    return answered;
};

/** Guards the non-idempotent calls of one agent with `registry`; a call without a key is never made. */
export const createAtMostOnceRunner =
    (registry: ClaimRegistry, clock: Clock): AtMostOnceRunner => (attempt, call, signal) => {
        const { idempotencyKey: key = "", digest, timeoutMilliseconds } = attempt;
        const deadline = clock.now() + timeoutMilliseconds * (1 - answerTimeShare);
        return runAtMostOnce(registry, { key, digest, deadline }, call, signal);
    };
