/**
 * Serves the records that this entry has read to other entries, and reads from theirs.
 */
import { createTRPCClient, httpLink } from "@trpc/client";
import { fetchRequestHandler } from "@trpc/server/adapters/fetch";
import { Hono } from "hono";
import { err, ok, type Result } from "neverthrow";
import { setMaxListeners } from "node:events";
import type { FeedFailure, RecordBatch, RecordSource } from "../../coordination/ingress/recordSource.js";
import {
    decodeRelayRecords,
    recordRelayEndpoint,
    type RecordRelayRouter,
    recordRelayRouter,
    type RelayAnswer,
} from "../../protocol/recordRelayRouter.js";
import { reasonOf } from "../../state/errors.js";
import { listen, type Listener, type NodeBindings } from "../httpServer.js";
import { createTimeoutSignal } from "../timeoutSignal.js";

/** Time for an answer in addition to its wait; a configuration with a thousand routes takes a part of it. */
const answerTimeoutMilliseconds = 900;

/**
 * Serves `records` on `address` (`ip:port`). A read ends when its caller is gone, `signal` aborts or the listener closes,
 * which would otherwise wait for polls that hang for many seconds.
 */
export const serveRecords = async (
    address: string,
    records: RecordSource,
    signal: AbortSignal,
): Promise<Listener> => {
    const closing = new AbortController();
    setMaxListeners(0, closing.signal);
    const endReads = (): void => closing.abort();
    signal.addEventListener("abort", endReads, { once: true });
    const application = new Hono<NodeBindings>();
    application.all(`${recordRelayEndpoint}/*`, async ({ req }) => {
        const reading = new AbortController();
        const stop = (): void => reading.abort();
        closing.signal.addEventListener("abort", stop, { once: true });
        if (closing.signal.aborted) {
            stop();
        }
        req.raw.signal.addEventListener("abort", stop, { once: true });
        const response = await fetchRequestHandler({
            endpoint: recordRelayEndpoint,
            req: req.raw,
            router: recordRelayRouter,
            createContext: () => ({ records, signal: reading.signal }),
        });
        closing.signal.removeEventListener("abort", stop);
        return response;
    });
    const listener = await listen(application, address);
    return {
        address: listener.address,
        close: () => {
            signal.removeEventListener("abort", endReads);
            endReads();
            return listener.close();
        },
    };
};

const toResult = (answer: RelayAnswer): Result<RecordBatch, FeedFailure> =>
    "failure" in answer
        ? err({ kind: answer.failure, reason: answer.reason })
        : ok({
            records: decodeRelayRecords(answer.records),
            next: answer.next,
            forgotten: decodeRelayRecords(answer.forgotten ?? []),
        });

/** Reads the records of the entry that serves them at `address` (`ip:port`). */
export const createRelayedSource = (address: string): RecordSource => {
    const client = createTRPCClient<RecordRelayRouter>({
        links: [httpLink({ url: `http://${address}${recordRelayEndpoint}` })],
    });
    const call = async (
        waitMilliseconds: number,
        signal: AbortSignal,
        query: (callSignal: AbortSignal) => Promise<RelayAnswer>,
    ): Promise<Result<RecordBatch, FeedFailure>> => {
        const bounded = createTimeoutSignal(signal, waitMilliseconds + answerTimeoutMilliseconds);
        try {
            return toResult(await query(bounded.signal));
        }
        catch (error) {
            return err({ kind: "unavailable", reason: reasonOf(error) });
        }
        finally {
            bounded.dispose();
        }
    };
    return {
        readAll: (topic, signal) =>
            call(0, signal, callSignal => client.readAll.query({ topic }, { signal: callSignal })),
        readNewer: (topic, from, waitMilliseconds, signal) =>
            call(
                waitMilliseconds,
                signal,
                callSignal => client.readNewer.query({ topic, from, waitMilliseconds }, { signal: callSignal }),
            ),
    };
};
