/**
 * The platform's host list over HTTP.
 *
 * The list lags and may be out for a long time; whoever reads it keeps the last good copy.
 */
import { err, type Result } from "neverthrow";
import { request } from "undici";
import { z } from "zod";
import { decodeJsonAs, describeDecodingError } from "../protocol/decoding.js";
import type { HostRecord } from "../state/types.js";

const timeoutMilliseconds = 2_000;

const hostSchema: z.ZodType<HostRecord> = z.object({
    host: z.string(),
    availabilityZone: z.string(),
    role: z.enum(["entry", "upstream"]),
    state: z.enum(["live", "leaving"]),
    address: z.string(),
    serves: z.discriminatedUnion("kind", [
        z.object({ kind: z.literal("group"), group: z.string(), rank: z.int() }),
        z.object({ kind: z.literal("service"), service: z.string() }),
    ]).optional(),
});

const listSchema = z.object({ version: z.int(), hosts: z.array(hostSchema) });

export type HostList = z.infer<typeof listSchema>;

export type HostListFailure = { kind: "unavailable"; reason: string; };

/** Reads the list of the platform at `platform` (`http://ip:port`). */
export const readHostList = async (
    platform: string,
    signal: AbortSignal,
): Promise<Result<HostList, HostListFailure>> => {
    const limited = AbortSignal.any([signal, AbortSignal.timeout(timeoutMilliseconds)]);
    try {
        const answer = await request(`${platform}/hosts`, { signal: limited });
        const text = await answer.body.text();
        if (answer.statusCode !== 200) {
            return err({ kind: "unavailable", reason: `the host list answered status ${answer.statusCode}` });
        }
        return decodeJsonAs(listSchema, text)
            .mapErr(failure => ({ kind: "unavailable", reason: describeDecodingError(failure) }));
    }
    catch (error) {
        return err({ kind: "unavailable", reason: (error as Error).message });
    }
};
