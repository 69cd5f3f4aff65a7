/**
 * HTTP client for streams of the platform's append-only log.
 *
 * An append fails with `refused` if the connection could not be established or the log rejected the record, and with
 * `unknown` if the response was lost or invalid, since the log may then hold the record. Record bodies are returned
 * without validation; their readers validate them.
 */
import { err } from "neverthrow";
import type { Result } from "neverthrow";
import { Agent, type Dispatcher } from "undici";
import { z } from "zod";
import type { AppendFailure, LogStream, ReadFailure } from "../coordination/logStream.js";
import { decodeJsonAs, describeDecodingError } from "../protocol/decoding.js";
import { reasonOf } from "../state/errors.js";
import type { LogSlice } from "../state/types.js";
import { type PeerRequest, requestWhole } from "./boundedBody.js";
import { pacedConnections } from "./pacedSocket.js";
import { createTimeoutSignal } from "./timeoutSignal.js";
import { isConnectError } from "./upstreamConnections.js";

const defaultTimeoutMilliseconds = 5_000;
const agent = new Agent(pacedConnections("store"));
const defaultRecordsPerRead = 512;

const appendResponseSchema = z.object({ offset: z.int().min(0) });

const readResponseSchema = z.object({
    records: z.array(z.object({ offset: z.int().min(0), appendedAt: z.number(), body: z.unknown() })),
    firstOffset: z.int().min(0),
    nextOffset: z.int().min(0),
});

// Response statuses that guarantee that the log did not append the record.
const isDefiniteRejection = (status: number): boolean =>
    status === 429 || status === 503 || status >= 400 && status < 500;

export type LogClientOptions = {
    /** Base URL of the platform, `http://ip:port`. */
    platform: string;
    /** Name of the stream; it may contain "/". */
    stream: string;
    /** Timeout of an append, and of a read in addition to its wait time. */
    timeoutMilliseconds?: number;
    /** Maximum number of records per read. */
    recordsPerRead?: number;
    dispatcher?: Dispatcher;
};

type LogResponse = { status: number; text: string; };

/** Creates a client for one stream; it sends nothing before the first append or read. */
export const createLogClient = <Body>(options: LogClientOptions): LogStream<Body> => {
    const { platform, stream, timeoutMilliseconds = defaultTimeoutMilliseconds } = options;
    const { recordsPerRead = defaultRecordsPerRead, dispatcher = agent } = options;
    const url = `${platform}/log/${encodeURIComponent(stream)}/records`;

    const sendRequest = async (
        target: string,
        parameters: Pick<PeerRequest, "method" | "headers" | "body">,
        timeout: number,
        signal: AbortSignal,
    ): Promise<LogResponse> => {
        const timeoutSignal = createTimeoutSignal(signal, timeout);
        try {
            const { status, body } = await requestWhole({
                ...parameters,
                dispatcher,
                url: target,
                kind: "store",
                signal: timeoutSignal.signal,
            });
            return { status, text: body.toString("utf8") };
        }
        finally {
            timeoutSignal.dispose();
        }
    };

    const append = async (body: Body, signal: AbortSignal): Promise<Result<number, AppendFailure>> => {
        if (signal.aborted) {
            return err({ kind: "refused", reason: "append was cancelled before it was sent" });
        }
        const parameters = {
            method: "POST" as const,
            headers: { "content-type": "application/json" },
            body: JSON.stringify(body),
        };
        try {
            const { status, text } = await sendRequest(url, parameters, timeoutMilliseconds, signal);
            if (status !== 200) {
                const kind = isDefiniteRejection(status) ? "refused" : "unknown";
                return err({
                    kind,
                    reason: `log stream "${stream}" responded with status ${status}: ${text.slice(0, 200)}`,
                });
            }
            return decodeJsonAs(appendResponseSchema, text)
                .map(({ offset }) => offset)
                .mapErr(error => ({ kind: "unknown", reason: describeDecodingError(error) }));
        }
        catch (error) {
            const kind = isConnectError(error) ? "refused" : "unknown";
            return err({ kind, reason: `log stream "${stream}": ${reasonOf(error)}` });
        }
    };

    const read = async (
        fromOffset: number,
        waitMilliseconds: number,
        signal: AbortSignal,
    ): Promise<Result<LogSlice<Body>, ReadFailure>> => {
        const query = new URLSearchParams({
            from: String(fromOffset),
            limit: String(recordsPerRead),
            waitMilliseconds: String(waitMilliseconds),
        });
        try {
            const timeout = waitMilliseconds + timeoutMilliseconds;
            const { status, text } = await sendRequest(
                `${url}?${query.toString()}`,
                { method: "GET" },
                timeout,
                signal,
            );
            if (status !== 200) {
                return err({ kind: "unavailable", reason: `log stream "${stream}" responded with status ${status}` });
            }
            return decodeJsonAs(readResponseSchema, text)
                .map(slice => slice as LogSlice<Body>)
                .mapErr(error => ({ kind: "unavailable", reason: describeDecodingError(error) }));
        }
        catch (error) {
            return err({ kind: "unavailable", reason: `log stream "${stream}": ${reasonOf(error)}` });
        }
    };

    return { name: stream, append, read };
};
