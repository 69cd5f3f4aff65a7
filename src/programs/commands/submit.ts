/**
 * Submits a settings change to the log and reports its outcome to the operator.
 */
import type { LogStream } from "../../coordination/logStream.js";
import { applyChange } from "../../coordination/settingsChange.js";
import type { ChangeFailure, ChangeOutcome, WinningChange } from "../../coordination/settingsChange.js";
import type { SettingsChange, SettingsRecord } from "../../state/types.js";
import { systemClock } from "../../transport/systemClock.js";
import { exitStatus, fail, parseSeconds, print } from "./commandSupport.js";

const describeWinner = ({ path, winningOffset, change }: WinningChange): string => {
    const by = change === undefined
        ? ""
        : ` by ${change.author}${change.comment === "" ? "" : `: ${change.comment}`} (change ${change.id})`;
    return `  "${path}" was changed at offset ${winningOffset}${by}`;
};

const reportOutcome = (change: SettingsChange, outcome: ChangeOutcome): void => {
    if (outcome.kind === "accepted") {
        print(`accepted at offset ${outcome.offset} (change ${change.id})`);
        return;
    }
    fail(
        exitStatus.rejected,
        `rejected: the settings have changed since change ${change.id} was created; no part of it was applied`,
        ...outcome.winners.map(describeWinner),
        "check the differences and apply the change again",
    );
};

const reportFailure = (change: SettingsChange, { kind, reason }: ChangeFailure): void => {
    const meaning = kind === "not-taken"
        ? "the log did not accept the change"
        : "the change may or may not be in the log; run the same command again to determine its outcome";
    fail(exitStatus.undetermined, `${meaning} (change ${change.id}): ${reason}`);
};

/** Appends `change` and reports its outcome; `timeoutSeconds` is the unparsed command line option. */
export const submitChange = async (
    change: SettingsChange,
    stream: LogStream<SettingsRecord>,
    timeoutSeconds: string,
    signal: AbortSignal,
): Promise<void> => {
    const timeoutMilliseconds = parseSeconds(timeoutSeconds);
    if (timeoutMilliseconds === undefined) {
        fail(exitStatus.invalidInput, `option "timeout-seconds" must be a number above 0, not "${timeoutSeconds}"`);
        return;
    }
    const options = { stream, timeoutMilliseconds, clock: systemClock, random: Math.random, signal };
    const result = await applyChange(change, options);
    result.match(outcome => reportOutcome(change, outcome), failure => reportFailure(change, failure));
};
