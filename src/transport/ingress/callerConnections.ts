/**
 * The connections of callers: the requests of each that have no complete answer yet, and when it may be closed in a planned
 * stop.
 *
 * Requests that were sent without waiting for earlier answers are handled one after the other: an answer can only follow
 * those before it, and is lost with the connection if one of them breaks off.
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** A caller sends its first request, or the next one after an answer, within this time; many round trips. */
const nextRequestMilliseconds = 500;

type ConnectionState = {
    openRequests: number;
    /** Resolves when all requests so far have their answers. */
    answered: Promise<void>;
    /** Since when no request is open. */
    idleSince: number;
    /** It is closed for writing: what still arrives can't be answered. */
    isEnded: boolean;
};

export type CallerConnections = {
    add: (socket: Socket) => void;
    /**
     * Counts a request until its answer has been sent. Returns undefined on a connection that has been ended; otherwise what
     * resolves when the answers before it have been sent.
     */
    begin: (socket: Socket, response: ServerResponse) => Promise<void> | undefined;
    /** Whether the connection has this one request only. */
    hasOneRequest: (socket: Socket) => boolean;
    /** Whether a request is open, or may be on its way on a connection that a caller has just opened or got an answer on. */
    isBusy: () => boolean;
    /** Ends the connections on which no request is open or expected. */
    endIdle: () => void;
};

export const createCallerConnections = (): CallerConnections => {
    const states = new Map<Socket, ConnectionState>();

    const isRequestExpected = ({ idleSince }: ConnectionState): boolean =>
        performance.now() - idleSince < nextRequestMilliseconds;

    return {
        add: socket => {
            states.set(socket, {
                openRequests: 0,
                answered: Promise.resolve(),
                idleSince: performance.now(),
                isEnded: false,
            });
            socket.once("close", () => states.delete(socket));
        },
        begin: (socket, response) => {
            const state = states.get(socket);
            if (state === undefined || state.isEnded || !socket.writable) {
                return undefined;
            }
            const before = state.answered;
            state.openRequests += 1;
            state.answered = new Promise(resolve => {
                // An answer that waits for others doesn't notice the end of its connection.
                socket.once("close", resolve);
                response.once("close", () => {
                    socket.removeListener("close", resolve);
                    state.openRequests -= 1;
                    state.idleSince = performance.now();
                    resolve();
                });
            });
            return before;
        },
        hasOneRequest: socket => states.get(socket)?.openRequests === 1,
        isBusy: () =>
            [...states.values()].some(state => !state.isEnded && (state.openRequests > 0 || isRequestExpected(state))),
        endIdle: () => {
            for (const [socket, state] of states) {
                if (state.openRequests === 0 && !state.isEnded && !isRequestExpected(state)) {
                    state.isEnded = true;
                    socket.end();
                }
            }
        },
    };
};
