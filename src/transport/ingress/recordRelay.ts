/**
 * Reads the records that other entries have read from the store.
 */
import { createTRPCClient, httpLink } from "@trpc/client";
import { err, ok, type Result } from "neverthrow";
import type { FeedFailure, RecordBatch, RecordSource } from "../../coordination/ingress/recordSource.js";
import {
    decodeDatedRecords,
    decodeRelayRecords,
    recordRelayEndpoint,
    type RecordRelayRouter,
    type RelayAnswer,
} from "../../protocol/recordRelayRouter.js";
import { reasonOf } from "../../state/errors.js";
import { peerFetch } from "../peerFetch.js";
import { createTimeoutSignal } from "../timeoutSignal.js";

/** Time for an answer in addition to its wait; a configuration with a thousand routes takes a part of it. */
const answerTimeoutMilliseconds = 900;

const toResult = (answer: RelayAnswer): Result<RecordBatch, FeedFailure> =>
    "failure" in answer
        ? err({ kind: answer.failure, reason: answer.reason })
        : ok({
            records: decodeRelayRecords(answer.records),
            next: answer.next,
            forgotten: decodeDatedRecords(answer.forgotten ?? []),
            eraStarts: answer.eraStarts ?? [],
            digests: answer.digests ?? [],
        });

/** Reads the records of the entry that serves them at `address` (`ip:port`). */
export const createRelayedSource = (address: string): RecordSource => {
    const client = createTRPCClient<RecordRelayRouter>({
        links: [httpLink({ url: `http://${address}${recordRelayEndpoint}`, fetch: peerFetch })],
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
