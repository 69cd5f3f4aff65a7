/**
 * Asks other entries for permits to send requests to upstreams that state a limit.
 */
import { createTRPCClient, httpLink } from "@trpc/client";
import { err, ok, type Result } from "neverthrow";
import type { PermitDecision } from "../../coordination/ingress/requestPermits.js";
import type { PermitQuestion } from "../../coordination/ingress/upstreamLimits.js";
import { requestPermitEndpoint, type RequestPermitRouter } from "../../protocol/requestPermitRouter.js";
import { reasonOf } from "../../state/errors.js";
import { peerFetch } from "../peerFetch.js";
import { createTimeoutSignal } from "../timeoutSignal.js";

/** Many round trips between zones; the request then goes elsewhere. */
const answerTimeoutMilliseconds = 100;

const createClient = (address: string) =>
    createTRPCClient<RequestPermitRouter>({
        links: [httpLink({ url: `http://${address}${requestPermitEndpoint}`, fetch: peerFetch })],
    });

export type AskForPermit = (
    /** `ip:port` of the entry. */
    address: string,
    question: PermitQuestion,
    signal: AbortSignal,
) => Promise<Result<PermitDecision, string>>;

export const createPermitClient = (): AskForPermit => {
    const clients = new Map<string, ReturnType<typeof createClient>>();

    const clientAt = (address: string): ReturnType<typeof createClient> => {
        const client = clients.get(address) ?? createClient(address);
        clients.set(address, client);
        return client;
    };

    return async (address, question, signal) => {
        const bounded = createTimeoutSignal(signal, answerTimeoutMilliseconds);
        try {
            return ok(await clientAt(address).take.mutate(question, { signal: bounded.signal }));
        }
        catch (error) {
            return err(reasonOf(error));
        }
        finally {
            bounded.dispose();
        }
    };
};
