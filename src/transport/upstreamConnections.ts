/**
 * Connections to agents, upstreams and the platform: the dispatcher for streams, and the errors that guarantee that
 * nothing was sent.
 */
import { Agent } from "undici";
import { pacedConnections } from "./pacedSocket.js";

const connectTimeoutMilliseconds = 500;
/** Services may send any header fields. */
const maximumHeadBytes = 16_384;

const connectErrorCodes = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);

/** Code of a system or undici error; empty if it has none. */
const errorCode = (error: unknown): string =>
    typeof error === "object" && error !== null && "code" in error ? String(error.code) : "";

/** Whether `error` means that the connection was never established, so that nothing of the request was sent. */
export const isConnectError = (error: unknown): boolean => connectErrorCodes.has(errorCode(error));

/** Creates a dispatcher without response timeouts, for streams of any length; callers set their own timeouts. */
export const createStreamDispatcher = (): Agent =>
    new Agent({
        ...pacedConnections("stream", connectTimeoutMilliseconds, maximumHeadBytes),
        connections: null,
        bodyTimeout: 0,
        headersTimeout: 0,
    });
