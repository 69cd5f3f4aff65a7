/**
 * Serves one call to a plain service at an agent.
 *
 * `runAtMostOnce` decides whether a non-idempotent call may run; an idempotent one goes straight to the service.
 */
import { err, type Result } from "neverthrow";
import { type Refusal, refusal } from "../state/errors.js";
import type { AdmissionController } from "./admissionController.js";
import type { ServiceAttempt, ServiceResponse } from "./attempts.js";
import { admissionRefusals } from "./modelAttemptTask.js";
import type { ServiceClient } from "./upstreamClients.js";

/** Why a call returned no response: an explicit refusal, or a failure after which it may have run. */
export type ServiceFailure = { kind: "refused"; refusal: Refusal; } | { kind: "may-have-run"; reason: string; };

export type ServiceCall = (signal: AbortSignal) => Promise<Result<ServiceResponse, ServiceFailure>>;

/** Runs a non-idempotent call at most once, or returns the response of the run that took place. */
export type AtMostOnceRunner = (
    attempt: ServiceAttempt,
    call: ServiceCall,
    signal: AbortSignal,
) => Promise<Result<ServiceResponse, ServiceFailure>>;

export type ServiceAttemptDependencies = {
    host: string;
    admissionController: AdmissionController;
    service: ServiceClient;
    runAtMostOnce: AtMostOnceRunner;
};

const retryAfterSeconds = 1;

export const serveServiceAttempt = async (
    dependencies: ServiceAttemptDependencies,
    attempt: ServiceAttempt,
    signal: AbortSignal,
): Promise<Result<ServiceResponse, ServiceFailure>> => {
    const call: ServiceCall = callSignal => callWithPermit(dependencies, attempt, callSignal);
    if (attempt.idempotencyKey === undefined) {
        return call(signal);
    }
    return dependencies.runAtMostOnce(attempt, call, signal);
};

const callWithPermit = async (
    dependencies: ServiceAttemptDependencies,
    attempt: ServiceAttempt,
    signal: AbortSignal,
): Promise<Result<ServiceResponse, ServiceFailure>> => {
    const admission = dependencies.admissionController.admit({ tokens: 1, migratable: false });
    if (admission.isErr()) {
        return err({ kind: "refused", refusal: admissionRefusals[admission.error](dependencies.host) });
    }
    const permit = admission.value;
    const result = await dependencies.service.call(attempt, signal);
    permit.release({ result: result.isOk() ? "completed" : "failed", tokens: 1 });
    return result.mapErr(({ kind, reason }) =>
        kind === "unreachable" || kind === "refused"
            ? { kind: "refused", refusal: refusal("no-upstream", [dependencies.host], retryAfterSeconds) }
            : { kind: "may-have-run", reason }
    );
};
