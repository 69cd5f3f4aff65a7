/**
 * The `fetch` that tRPC's links call, with responses that are read through the process's rule.
 */
import type { httpLink } from "@trpc/client";
import { Agent } from "undici";
import { requestWhole } from "./boundedBody.js";
import { pacedConnections } from "./pacedSocket.js";

type PeerFetch = NonNullable<Parameters<typeof httpLink>[0]["fetch"]>;

const agent = new Agent({ ...pacedConnections("entry"), connections: null });
const firstFailureStatus = 300;
/** For calls that end by their response only. */
const never = new AbortController().signal;

export const peerFetch: PeerFetch = async (url, { method = "GET", headers = {}, body, signal } = {}) => {
    const response = await requestWhole({
        dispatcher: agent,
        url: String(url),
        kind: "entry",
        method: method as "GET" | "POST",
        headers: headers as Record<string, string>,
        ...(typeof body === "string" ? { body } : {}),
        signal: signal ?? never,
    });
    return {
        ok: response.status < firstFailureStatus,
        json: () => Promise.resolve(JSON.parse(response.body.toString("utf8")) as unknown),
    };
};
