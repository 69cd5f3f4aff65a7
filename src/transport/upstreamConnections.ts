/**
 * Connections to agents, upstreams and the platform: the dispatcher for streams, and the errors that guarantee that
 * nothing was sent.
 */
import { Agent, buildConnector } from "undici";

const connectTimeoutMilliseconds = 500;

const connectErrorCodes = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);

/** Code of a system or undici error; empty if it has none. */
const errorCode = (error: unknown): string =>
    typeof error === "object" && error !== null && "code" in error ? String(error.code) : "";

/** Whether `error` means that the connection was never established, so that nothing of the request was sent. */
export const isConnectError = (error: unknown): boolean => connectErrorCodes.has(errorCode(error));

const connect = buildConnector({ timeout: connectTimeoutMilliseconds });

/** undici takes ECONNRESET for the end of a body that only its connection ends, so a reset is reported under another code. */
const renameReset = (error: NodeJS.ErrnoException): void => {
    if (error.code === "ECONNRESET") {
        error.code = "UND_ERR_SOCKET";
    }
};

const connectWithResets: buildConnector.connector = (options, callback) =>
    connect(options, (...result) => {
        result[1]?.on("error", renameReset);
        callback(...result);
    });

/** Creates a dispatcher without response timeouts, for streams of any length; callers set their own timeouts. */
export const createStreamDispatcher = (): Agent =>
    new Agent({
        connect: connectWithResets,
        connections: null,
        pipelining: 1,
        bodyTimeout: 0,
        headersTimeout: 0,
    });
