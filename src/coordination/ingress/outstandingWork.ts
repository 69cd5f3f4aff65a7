/**
 * Work that requests still have to do on each upstream: that of this entry exactly, that of all entries by what the
 * others told last.
 *
 * Counts of requests say little about the load of an upstream where one request takes as much work as a hundred others.
 * Requests whose cost isn't known, also those of entries that tell no work, count as `unestimated`.
 */
import type { Clock } from "../../state/types.js";
import type { OutstandingWork, PeerWork } from "./peerStatusTable.js";
import type { StreamCost } from "./streamCost.js";

/** The work of one stream. */
export type StreamWork = {
    /** Records an event with this many tokens; the first shows that the prompt has been read. */
    recordEvent: (tokens: number) => void;
    end: () => void;
};

export type OutstandingWorkTable = {
    beginStream: (id: string, cost: StreamCost) => StreamWork;
    /** Records a unary request that is expected to be answered in some milliseconds; returns its end. */
    beginUnary: (id: string, workMilliseconds: number, expectedMilliseconds: number) => () => void;
    /** This entry's work by upstream id, only of upstreams that have some. */
    own: () => Record<string, OutstandingWork>;
    /** The work of all entries on an upstream, `running` requests of this entry included. */
    on: (id: string, running: number) => PeerWork;
};

type UnaryItem = { workMilliseconds: number; expectedMilliseconds: number; beganAt: number; };
type Held = OutstandingWork & { requests: number; unary: Set<UnaryItem>; };

/** Share of the work of a request that is still assumed when it should have been answered. */
const leastRemainingShare = 0.25;

export const createOutstandingWork = (
    clock: Pick<Clock, "now">,
    peerWorkOn: (id: string) => PeerWork,
): OutstandingWorkTable => {
    const heldByUpstream = new Map<string, Held>();

    const heldOn = (id: string): Held => {
        const known = heldByUpstream.get(id);
        if (known !== undefined) {
            return known;
        }
        const created = { promptTokens: 0, remaining: 0, heldTokens: 0, requests: 0, unary: new Set<UnaryItem>() };
        heldByUpstream.set(id, created);
        return created;
    };

    const endOne = (id: string, held: Held): void => {
        held.requests -= 1;
        if (held.requests === 0) {
            heldByUpstream.delete(id);
        }
    };

    const unaryRemaining = (unary: ReadonlySet<UnaryItem>): number => {
        let total = 0;
        for (const { workMilliseconds, expectedMilliseconds, beganAt } of unary) {
            const remainingShare = 1 - (clock.now() - beganAt) / Math.max(1, expectedMilliseconds);
            total += workMilliseconds * Math.max(leastRemainingShare, remainingShare);
        }
        return total;
    };

    return {
        beginStream: (id, { promptTokens, answerTokens, heldTokens }) => {
            const held = heldOn(id);
            let unread = promptTokens;
            let unwritten = answerTokens;
            held.requests += 1;
            held.promptTokens += unread;
            held.remaining += unwritten;
            held.heldTokens += heldTokens;
            const write = (tokens: number): void => {
                held.promptTokens -= unread;
                unread = 0;
                const written = Math.min(tokens, unwritten);
                held.remaining -= written;
                unwritten -= written;
            };
            return {
                recordEvent: write,
                end: () => {
                    write(unwritten);
                    held.heldTokens -= heldTokens;
                    endOne(id, held);
                },
            };
        },
        beginUnary: (id, workMilliseconds, expectedMilliseconds) => {
            const held = heldOn(id);
            const item = { workMilliseconds, expectedMilliseconds, beganAt: clock.now() };
            held.requests += 1;
            held.unary.add(item);
            return () => {
                held.unary.delete(item);
                endOne(id, held);
            };
        },
        own: () =>
            Object.fromEntries(
                [...heldByUpstream].map(([id, { promptTokens, remaining, heldTokens, unary }]) => [
                    id,
                    { promptTokens, remaining: remaining + unaryRemaining(unary), heldTokens },
                ]),
            ),
        on: (id, running) => {
            const others = peerWorkOn(id);
            const held = heldByUpstream.get(id);
            return {
                promptTokens: others.promptTokens + (held?.promptTokens ?? 0),
                remaining: others.remaining + (held === undefined ? 0 : held.remaining + unaryRemaining(held.unary)),
                heldTokens: others.heldTokens + (held?.heldTokens ?? 0),
                unestimated: others.unestimated + Math.max(0, running - (held?.requests ?? 0)),
            };
        },
    };
};
