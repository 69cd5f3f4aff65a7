/**
 * `cyclamengap dump` and `cyclamengap log tail`: print the state of a daemon and the records of a log stream.
 */
import { defineCommand } from "citty";
import { decodeJson, describeDecodingError } from "../../protocol/decoding.js";
import { createLogClient } from "../../transport/logClient.js";
import { fetchDump } from "../../transport/operatorClient.js";
import { exitStatus, fail, interruptSignal, loadOperatorToken, platformArgument, print } from "./commandSupport.js";

const longPollMilliseconds = 10_000;

export const dump = defineCommand({
    meta: { name: "dump", description: "print the state of the daemon at an address" },
    args: { address: { type: "positional", required: true, description: "control address, ip:port" } },
    run: async ({ args }) => {
        const token = loadOperatorToken();
        if (token === undefined) {
            return;
        }
        const text = await fetchDump(args.address, token, interruptSignal());
        text.andThen(json => decodeJson(json).mapErr(describeDecodingError)).match(
            state => print(JSON.stringify(state, undefined, 4)),
            reason => fail(exitStatus.undetermined, `daemon "${args.address}": ${reason}`),
        );
    },
});

const tail = defineCommand({
    meta: { name: "tail", description: "print the records of a stream, one JSON object per line" },
    args: {
        ...platformArgument,
        stream: { type: "positional", required: true, description: "settings, quarantine, claims/…, groups/…" },
        from: { type: "string", default: "0", description: "first offset" },
        follow: { type: "boolean", default: false, description: "wait for new records" },
    },
    run: async ({ args }) => {
        const signal = interruptSignal();
        const stream = createLogClient<unknown>({ platform: args.platform, stream: args.stream });
        let nextOffset = Number(args.from);
        if (!Number.isSafeInteger(nextOffset) || nextOffset < 0) {
            fail(exitStatus.invalidInput, `option "from" must be an offset of 0 or above, not "${args.from}"`);
            return;
        }
        for (;;) {
            const slice = await stream.read(nextOffset, args.follow ? longPollMilliseconds : 0, signal);
            if (signal.aborted) {
                return;
            }
            if (slice.isErr()) {
                fail(exitStatus.undetermined, `cannot read stream "${args.stream}": ${slice.error.reason}`);
                return;
            }
            print(...slice.value.records.map(record => JSON.stringify(record)));
            nextOffset = (slice.value.records.at(-1)?.offset ?? nextOffset - 1) + 1;
            if (!args.follow && nextOffset >= slice.value.nextOffset) {
                return;
            }
        }
    },
});

export const log = defineCommand({
    meta: { name: "log", description: "streams of the platform's log" },
    subCommands: { tail },
});
