/**
 * Connections towards agents, upstreams and the platform: how they are opened, and which of their errors mean that
 * nothing was sent.
 */
import { Agent } from "undici";

const connectTimeoutMilliseconds = 500;

const connectErrorCodes = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);

/** Code of an error of the system or of undici; empty where it has none. */
const errorCode = (error: unknown): string =>
    typeof error === "object" && error !== null && "code" in error ? String(error.code) : "";

/** Whether `error` is of a connection that was never made, so that certainly nothing of the request was sent. */
export const isConnectError = (error: unknown): boolean => connectErrorCodes.has(errorCode(error));

/** A dispatcher for streams of any length, whose time the callers bound. */
export const createStreamDispatcher = (): Agent =>
    new Agent({
        connect: { timeout: connectTimeoutMilliseconds },
        connections: null,
        pipelining: 1,
        bodyTimeout: 0,
        headersTimeout: 0,
    });
