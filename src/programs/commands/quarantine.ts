/**
 * `cyclamengap quarantine`: lets a request go that is kept out because it crashed upstreams.
 */
import { defineCommand } from "citty";
import { quarantineStreamName } from "../../protocol/quarantineRecords.js";
import type { QuarantineBatch } from "../../state/quarantineStateMachine.js";
import { createLogClient } from "../../transport/logClient.js";
import { exitStatus, fail, interruptSignal, platformArgument, print } from "./commandSupport.js";

const release = defineCommand({
    meta: { name: "release", description: "run a quarantined request again" },
    args: {
        ...platformArgument,
        digest: { type: "positional", required: true, description: "whole digest, as a dump or the log shows it" },
        author: { type: "string", default: process.env["USER"] ?? "operator", description: "who releases it" },
    },
    run: async ({ args: { platform, digest, author } }) => {
        const stream = createLogClient<QuarantineBatch>({ platform, stream: quarantineStreamName });
        const entries: QuarantineBatch["entries"] = [{ kind: "clear", digest, by: author }];
        const appended = await stream.append({ agent: author, entries }, interruptSignal());
        appended.match(
            offset => print(`request ${digest} is released at offset ${offset}`),
            // A second release changes nothing, so the command may be given again whatever became of the first.
            ({ reason }) =>
                fail(exitStatus.undetermined, `request ${digest} may not be released; run it again: ${reason}`),
        );
    },
});

/** The command group `quarantine`. */
export const quarantine = defineCommand({
    meta: { name: "quarantine", description: "requests that crashed upstreams" },
    subCommands: { release },
});
