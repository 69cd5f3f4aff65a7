/**
 * One non-idempotent call at an agent: claim the key, call the service once, keep what came of it.
 */
import { err, ok, type Result } from "neverthrow";
import type { Refusal } from "../state/errors.js";
import type { Clock } from "../state/types.js";
import type { ServiceResponse } from "./attempts.js";
import type { ClaimRegistry, ClaimRequest, RunPermit } from "./claims.js";
import type { AtMostOnceRunner, ServiceCall, ServiceFailure } from "./serviceAttemptTask.js";

/** Part of an attempt's time that is kept for its answer to reach the entry. */
const answerTimeShare = 0.05;
/** How long a run may go on, counted from its start, when its caller no longer waits. */
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
 * Gives the answer of the one run of the key, whichever agent and request it ran for. `call` is made at most once, and
 * only under a permit. A run outlives the request that started it, so that a resend gets its answer.
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

/** Guards the non-idempotent calls of one agent by `keeper`; a call without a key is never made. */
export const createServiceGuard =
    (registry: ClaimRegistry, clock: Clock): AtMostOnceRunner => (attempt, call, signal) => {
        const { idempotencyKey: key = "", digest, timeoutMilliseconds } = attempt;
        const deadline = clock.now() + timeoutMilliseconds * (1 - answerTimeShare);
        return runAtMostOnce(registry, { key, digest, deadline }, call, signal);
    };
