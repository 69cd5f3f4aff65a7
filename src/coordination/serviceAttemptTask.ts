/**
 * The task that serves one call of a plain service at an agent.
 *
 * `guard` decides whether and how often a non-idempotent call may run; an idempotent one goes straight to the service.
 */
import { err, type Result } from "neverthrow";
import { type Refusal, refusal } from "../state/errors.js";
import type { AdmissionGate } from "./admissionGate.js";
import type { ServiceAnswer, ServiceAttempt } from "./attempts.js";
import { admissionRefusals } from "./modelAttemptTask.js";
import type { ServiceClient } from "./upstreamClients.js";

/** Why a call gave no answer: an explicit refusal, or a failure after which it may have run. */
export type ServiceFailure = { kind: "refused"; refusal: Refusal; } | { kind: "may-have-run"; reason: string; };

export type CallService = (signal: AbortSignal) => Promise<Result<ServiceAnswer, ServiceFailure>>;

/** Runs a non-idempotent call at most once, or gives the answer of the run that took place. */
export type ServiceGuard = (
    attempt: ServiceAttempt,
    call: CallService,
    signal: AbortSignal,
) => Promise<Result<ServiceAnswer, ServiceFailure>>;

export type ServiceAttemptTools = {
    host: string;
    gate: AdmissionGate;
    service: ServiceClient;
    guard: ServiceGuard;
};

const comeBackSeconds = 1;

/** Serves `attempt` within its time. */
export const serveServiceAttempt = async (
    tools: ServiceAttemptTools,
    attempt: ServiceAttempt,
    signal: AbortSignal,
): Promise<Result<ServiceAnswer, ServiceFailure>> => {
    const call: CallService = callSignal => callWithPermit(tools, attempt, callSignal);
    if (attempt.idempotencyKey === undefined) {
        return call(signal);
    }
    return tools.guard(attempt, call, signal);
};

const callWithPermit = async (
    tools: ServiceAttemptTools,
    attempt: ServiceAttempt,
    signal: AbortSignal,
): Promise<Result<ServiceAnswer, ServiceFailure>> => {
    const admission = tools.gate.admit({ tokens: 1, movable: false });
    if (admission.isErr()) {
        return err({ kind: "refused", refusal: admissionRefusals[admission.error](tools.host) });
    }
    const permit = admission.value;
    const answered = await tools.service.call(attempt, signal);
    permit.finish({ result: answered.isOk() ? "completed" : "failed", tokens: 1 });
    return answered.mapErr(({ kind, reason }) =>
        kind === "unreachable" || kind === "refused"
            ? { kind: "refused", refusal: refusal("no-upstream", [tools.host], comeBackSeconds) }
            : { kind: "may-have-run", reason }
    );
};
