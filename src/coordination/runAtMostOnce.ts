/**
 * One non-idempotent call at an agent: claim the key, call the service once, keep what came of it.
 */
import { err, ok, type Result } from "neverthrow";
import type { StoredAnswer } from "../state/claimFold.js";
import { type Refusal, refusal } from "../state/errors.js";
import type { ClaimKeeper, ClaimRequest, RunPermit } from "./claimKeeper.js";
import type { UpstreamFailure } from "./upstreamClients.js";

const comeBackSeconds = 1;

type Called = { permit: RunPermit; key: string; service: string; };

<<<<<<< HEAD
type Ending = (called: Called) => Refusal;

const neverRan: Ending = ({ permit, service }) => {
=======
const neverRan: Ending = (permit, unusedKey, service) => {
>>>>>>> main
    permit.release();
    return refusal("no-upstream", [service], comeBackSeconds);
};

const mayHaveRun: Ending = ({ permit, key }) => {
    permit.lose();
    return refusal("outcome-unknown", [key]);
};

const endings: Record<UpstreamFailure["kind"], Ending> = {
    unreachable: neverRan,
    refused: neverRan,
    crashed: mayHaveRun,
    cut: mayHaveRun,
};

/**
 * Gives the answer of the one run of the key, whichever agent and request it ran for. `call` is made at most once, and
 * only under a permit; `service` names the service in refusals.
 */
export const runAtMostOnce = async (
    keeper: ClaimKeeper,
    service: string,
    request: ClaimRequest,
    call: () => Promise<Result<StoredAnswer, UpstreamFailure>>,
    signal: AbortSignal,
): Promise<Result<StoredAnswer, Refusal>> => {
    const claimed = await keeper.claim(request, signal);
    if (claimed.isErr()) {
        return err(claimed.error);
    }
    if (claimed.value.kind === "replay") {
        return ok(claimed.value.answer);
    }
    const { permit } = claimed.value;
    const answered = await call();
    if (answered.isErr()) {
        return err(endings[answered.error.kind]({ permit, key: request.key, service }));
    }
    permit.complete(answered.value);
    return ok(answered.value);
};
