/**
 * Bounds the connections of a listener. When there are too many, one that waits for its client gives way to the new one:
 * a client that sends its request is served though others hold connections without using them.
 */
import type { Clock } from "../state/types.js";

export type ClientConnection = {
    /**
     * Since when it waits for a request, or for the rest of one, or was slowed down as it sends too fast; undefined while
     * complete requests are handled.
     */
    waitingSince: () => number | undefined;
    /** Whether the client has begun a request and owes its rest. */
    isReading: () => boolean;
    end: (cause: ConnectionEndCause) => void;
};

/**
 * `crowded`: too many connections; `stalled`: the rest of a request didn't arrive; `memory`: it held too much; `slowed`: a
 * request was slowed down for too long.
 */
export type ConnectionEndCause = "crowded" | "stalled" | "memory" | "slowed";

export type ClientConnections = {
    /** Counts a connection until the returned function is called; undefined if it is to be closed. */
    add: (connection: ClientConnection) => (() => void) | undefined;
    /** Ends connections whose request has stopped to arrive. */
    endStalled: () => void;
};

/** Clients stay idle for 15 s at most, also within a request; the rest covers delays on the way. */
const stalledMilliseconds = 17_000;

export const createClientConnections = (
    maximumConnections: number,
    clock: Pick<Clock, "now">,
): ClientConnections => {
    const connections = new Set<ClientConnection>();

    const longestWaiting = (): ClientConnection | undefined => {
        let longest: ClientConnection | undefined;
        let earliest = Infinity;
        for (const connection of connections) {
            const since = connection.waitingSince() ?? Infinity;
            if (since < earliest) {
                longest = connection;
                earliest = since;
            }
        }
        return longest;
    };

    return {
        add: connection => {
            if (connections.size >= maximumConnections) {
                const other = longestWaiting();
                if (other === undefined) {
                    return undefined;
                }
                connections.delete(other);
                other.end("crowded");
            }
            connections.add(connection);
            return () => void connections.delete(connection);
        },
        endStalled: () => {
            const deadline = clock.now() - stalledMilliseconds;
            for (const connection of connections) {
                if (connection.isReading() && (connection.waitingSince() ?? Infinity) < deadline) {
                    connections.delete(connection);
                    connection.end("stalled");
                }
            }
        },
    };
};
