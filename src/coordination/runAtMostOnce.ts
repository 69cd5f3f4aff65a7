/**
 * One non-idempotent call at an agent: claim the key, call the service once, keep what came of it.
 */
import { err, ok, type Result } from "neverthrow";
import type { Refusal } from "../state/errors.js";
import type { Clock } from "../state/types.js";
import type { ServiceAnswer } from "./attempts.js";
import type { ClaimKeeper, ClaimRequest, RunPermit } from "./claims.js";
import type { CallService, ServiceFailure, ServiceGuard } from "./serviceAttemptTask.js";

/** Part of an attempt's time that is kept for its answer to reach the entry. */
const answerShare = 0.05;
/** How long a run may go on, counted from its start, when its caller no longer waits. */
const longestRunMilliseconds = 120_000;

const endings: Record<ServiceFailure["kind"], (permit: RunPermit) => void> = {
    "refused": permit => permit.release(),
    "may-have-run": permit => permit.lose(),
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
    keeper: ClaimKeeper,
    request: ClaimRequest,
    call: CallService,
    signal: AbortSignal,
): Promise<Result<ServiceAnswer, ServiceFailure>> => {
    const claimed = await keeper.claim(request, signal);
    if (claimed.isErr()) {
        return err(failureOf(claimed.error));
    }
    if (claimed.value.kind === "replay") {
        return ok(claimed.value.answer);
    }
    const { permit } = claimed.value;
    const answered = await call(AbortSignal.timeout(longestRunMilliseconds));
    answered.match(permit.complete, ({ kind }) => endings[kind](permit));
    return answered;
};

/** Guards the non-idempotent calls of one agent by `keeper`; a call without a key is never made. */
export const createServiceGuard = (keeper: ClaimKeeper, clock: Clock): ServiceGuard => (attempt, call, signal) => {
    const { idempotencyKey: key = "", digest, timeoutMilliseconds } = attempt;
    const deadline = clock.now() + timeoutMilliseconds * (1 - answerShare);
    return runAtMostOnce(keeper, { key, digest, deadline }, call, signal);
};
