/**
 * HTTP client for the expert-map orders to the engine beside an agent.
 */
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import type { ExpertLoadReport } from "../coordination/expertLoad.js";
import type { EngineOrderFailure, RankEngine } from "../coordination/mapSwitchInterfaces.js";
import { decodeJson, describeDecodingError } from "../protocol/decoding.js";
import { expertLoadReportSchema, rankMapStatusSchema } from "../protocol/groupRecords.js";
import type { RankMapStatus } from "../state/mapPromise.js";
import { requestWithTimeout } from "./requestWithTimeout.js";

const timeoutMilliseconds = 1_000;
/** Loading weights takes as long as the weight store needs. */
const prepareTimeoutMilliseconds = 300_000;
const okStatus = 200;
const staleFenceStatus = 409;

type EngineResponse = { status?: unknown; refused?: EngineOrderFailure["kind"]; error?: string; };

const unreachable = (reason: string): EngineOrderFailure => ({ kind: "unreachable", reason });

const call = async (
    url: string,
    body: object | undefined,
    timeout: number,
    signal: AbortSignal,
): Promise<Result<{ code: number; answer: unknown; }, EngineOrderFailure>> => {
    const answered = await requestWithTimeout(url, body, timeout, signal);
    return answered.mapErr(unreachable).andThen(({ status, text }) =>
        decodeJson(text)
            .map(answer => ({ code: status, answer }))
            .mapErr(error => unreachable(describeDecodingError(error)))
    );
};

const validated = <Schema extends z.ZodType>(
    schema: Schema,
    value: unknown,
): Result<z.infer<Schema>, EngineOrderFailure> => {
    const parsed = schema.safeParse(value);
    return parsed.success ? ok(parsed.data) : err(unreachable("the engine's answer is not valid"));
};

const statusOf = ({ code, answer }: { code: number; answer: unknown; }): Result<RankMapStatus, EngineOrderFailure> => {
    const { status, refused, error } = answer as EngineResponse;
    if (code !== okStatus) {
        return err({
            kind: code === staleFenceStatus ? "stale-fence" : "unreachable",
            reason: error ?? `status ${code}`,
        });
    }
    return refused === undefined ? validated(rankMapStatusSchema, status) : err({ kind: refused, reason: refused });
};

/** Creates the client of the engine at `address` (`ip:port`). */
export const createMapEngineClient = (address: string): RankEngine => {
    const sendOrder = async (
        kind: string,
        fence: number,
        fields: object,
        signal: AbortSignal,
        timeout = timeoutMilliseconds,
    ): Promise<Result<RankMapStatus, EngineOrderFailure>> =>
        (await call(`http://${address}/orders`, { fence, order: { kind, ...fields } }, timeout, signal))
            .andThen(statusOf);
    return {
        status: async signal =>
            (await call(`http://${address}/expert-map`, undefined, timeoutMilliseconds, signal))
                .andThen(({ answer }) => validated(rankMapStatusSchema, answer)),
        prepare: (fence, fields, signal) => sendOrder("prepare-map", fence, fields, signal, prepareTimeoutMilliseconds),
        promise: (fence, fields, signal) => sendOrder("promise-map", fence, fields, signal),
        release: (fence, fields, signal) => sendOrder("release-map", fence, fields, signal),
    };
};

/** Reads the last load report of the engine; undefined if it is unavailable. */
export const readExpertLoad = async (address: string, signal: AbortSignal): Promise<ExpertLoadReport | undefined> => {
    const answer = await call(`http://${address}/expert-load`, undefined, timeoutMilliseconds, signal);
    return answer.andThen(({ answer: report }) => validated(expertLoadReportSchema, report)).unwrapOr(undefined);
};
