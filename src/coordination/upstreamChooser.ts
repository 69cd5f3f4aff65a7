/**
 * What the tasks at the entry need from routing: an upstream for each attempt, or the refusal to pass on.
 */
import type { Result } from "neverthrow";
import type { Refusal } from "../state/errors.js";
import type { HostRecord, LoadReport } from "../state/types.js";
import type { AttemptFailure, ModelWork, ServiceWork } from "./attempts.js";

/** An upstream chosen for one attempt; `finish` is called exactly once, when the attempt has ended. */
export type Choice = {
    upstream: HostRecord;
    finish: (ending: { failure?: AttemptFailure; load?: LoadReport; }) => void;
};

export type UpstreamChooser = {
    /** Chooses for `work`, passing over the hosts in `avoided` while any other takes work. */
    chooseForModel: (work: ModelWork, avoided: ReadonlySet<string>) => Result<Choice, Refusal>;
    chooseForService: (work: ServiceWork, avoided: ReadonlySet<string>) => Result<Choice, Refusal>;
};
