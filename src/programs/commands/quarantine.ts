/**
 * `cyclamengap quarantine`: releases requests that are quarantined because they crashed upstreams.
 */
import { defineCommand } from "citty";
import { quarantineStreamName } from "../../protocol/quarantineRecords.js";
import type { QuarantineBatch } from "../../state/quarantineStateMachine.js";
import { createLogClient } from "../../transport/logClient.js";
import { exitStatus, fail, interruptSignal, platformArgument, print } from "./commandSupport.js";

const release = defineCommand({
    meta: { name: "release", description: "allow a quarantined request to run again" },
    args: {
        ...platformArgument,
        digest: {
            type: "positional",
            required: true,
            description: "full digest of the request, as in a state dump or the log",
        },
        author: { type: "string", default: process.env["USER"] ?? "operator", description: "who releases it" },
    },
    run: async ({ args: { platform, digest, author } }) => {
        const stream = createLogClient<QuarantineBatch>({ platform, stream: quarantineStreamName });
        const entries: QuarantineBatch["entries"] = [{ kind: "clear", digest, by: author }];
        const appended = await stream.append({ agent: author, entries }, interruptSignal());
        appended.match(
            offset => print(`released request ${digest} at offset ${offset}`),
            // A repeated release has no effect, so the command is safe to retry whether or not the first one was
            // appended.
            ({ reason }) =>
                fail(
                    exitStatus.undetermined,
                    `request ${digest} may not have been released, run the command again: ${reason}`,
                ),
        );
    },
});

export const quarantine = defineCommand({
    meta: { name: "quarantine", description: "requests that crashed upstreams" },
    subCommands: { release },
});
