/**
 * The bounded queue of an entry for one target: where requests wait while no upstream has a free place.
 *
 * Higher priorities go first. Within one priority client accounts share the places by the tokens they ask for
 * (start-time fair queueing): each account's next request carries a virtual start time, which advances by the tokens of
 * the requests before it, and the lowest goes next. A full queue makes room at the cost of the lowest priority and of
 * the account with the most waiting requests, so that one account can't shut out the others.
 *
 * A request that can't start in time is refused when it arrives, from its place in the order and the measured rate of
 * starts; it never waits out its deadline for nothing.
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock, Priority } from "../state/types.js";
import { createStartRate } from "./startRate.js";

/** `full`: no room; `too-late`: it could not start in time; `cancelled`: its signal aborted. */
export type QueueRefusal = {
    kind: "full" | "too-late" | "cancelled";
    /** When a request of this kind may find a place, in milliseconds. */
    retryAfterMilliseconds: number;
};

/** Tries to start a request now; `wait` leaves it in the queue, `done` gives what it waited for. */
export type TryStart<Started> = () => { kind: "wait"; } | { kind: "done"; value: Started; };

export type QueueRequest<Started> = {
    clientAccount: string;
    priority: Priority;
    /** Cost by which accounts are served evenly. */
    tokens: number;
    /** Latest time at which the request may start. */
    startBy: number;
    /** Part of the answer is with the caller already, so the rest goes before all new requests. */
    resumed?: boolean;
    tryStart: TryStart<Started>;
};

export type FairQueue = {
    /** Starts the request at once if none waits before it, else queues it. */
    enter: <Started>(request: QueueRequest<Started>, signal: AbortSignal) => Promise<Result<Started, QueueRefusal>>;
    /** Starts what can start now; called when a place may have become free. */
    pump: () => void;
    /** Number of waiting requests. */
    length: () => number;
    /** Expected wait in milliseconds of a request with `ahead` requests before it. */
    expectedWait: (ahead: number) => number;
};

type Waiting = {
    clientAccount: string;
    /** Place of its priority in the order of service. */
    rank: number;
    virtualStart: number;
    order: number;
    startBy: number;
    /** Starts the request and settles its promise; false while it must wait. */
    start: () => boolean;
    refuse: (kind: QueueRefusal["kind"]) => void;
};

const resumedRank = -1;
const priorityRanks: Record<Priority, number> = { interactive: 0, standard: 1, batch: 2 };

/** Waiting requests tried in one go when the first of them can't start, as one may avoid hosts that others do not. */
const triedBeyondFirst = 4;

const compareWaiting = (left: Waiting, right: Waiting): number =>
    left.rank - right.rank || left.virtualStart - right.virtualStart || left.order - right.order;

export const createFairQueue = (clock: Clock, queueLimit: () => number): FairQueue => {
    const rate = createStartRate(clock);
    /** Kept in the order of service. */
    const waiting: Waiting[] = [];
    /** For each account the virtual time at which its next request starts. */
    const nextStart = new Map<string, number>();
    let virtualTime = 0;
    let entered = 0;

    const remove = (request: Waiting): void => {
        const position = waiting.indexOf(request);
        if (position >= 0) {
            waiting.splice(position, 1);
        }
        if (waiting.length === 0) {
            rate.recordIdle();
            nextStart.clear();
        }
    };

    const insert = (request: Waiting): number => {
        const found = waiting.findIndex(other => compareWaiting(request, other) < 0);
        const position = found < 0 ? waiting.length : found;
        waiting.splice(position, 0, request);
        rate.recordBusy();
        return position;
    };

    const pump = (): void => {
        let blocked = 0;
        while (waiting[blocked] !== undefined && blocked < triedBeyondFirst) {
            const request = waiting[blocked] as Waiting;
            if (request.startBy <= clock.now()) {
                request.refuse("too-late");
            }
            else if (request.start()) {
                virtualTime = Math.max(virtualTime, request.virtualStart);
                rate.recordStart();
                remove(request);
            }
            else {
                blocked += 1;
            }
        }
    };

    const countByAccount = (): Map<string, number> => {
        const counts = new Map<string, number>();
        waiting.forEach(({ clientAccount }) => counts.set(clientAccount, (counts.get(clientAccount) ?? 0) + 1));
        return counts;
    };

    /** The last in the order of the lowest priority, within it of the account with the most waiting requests. */
    const findVictim = (): Waiting | undefined => {
        const lowest = waiting.at(-1)?.rank;
        const counts = countByAccount();
        return waiting
            .filter(request => request.rank === lowest)
            .reduce<Waiting | undefined>(
                (victim, request) =>
                    victim === undefined
                        || (counts.get(request.clientAccount) ?? 0) >= (counts.get(victim.clientAccount) ?? 0)
                        ? request
                        : victim,
                undefined,
            );
    };

    const makeRoom = (): void => {
        while (waiting.length > queueLimit()) {
            findVictim()?.refuse("full");
        }
    };

    const expectedWait = (ahead: number): number => rate.expectedWait(ahead);

    const enqueue = <Started>(
        request: QueueRequest<Started>,
        virtualStart: number,
        signal: AbortSignal,
    ): Promise<Result<Started, QueueRefusal>> =>
        new Promise(resolve => {
            const timer = new AbortController();
            const settle = (result: Result<Started, QueueRefusal>): void => {
                timer.abort();
                signal.removeEventListener("abort", cancel);
                resolve(result);
            };
            const entry: Waiting = {
                clientAccount: request.clientAccount,
                rank: request.resumed === true ? resumedRank : priorityRanks[request.priority],
                virtualStart,
                order: entered,
                startBy: request.startBy,
                start: () => {
                    const attempt = request.tryStart();
                    if (attempt.kind === "done") {
                        settle(ok(attempt.value));
                    }
                    return attempt.kind === "done";
                },
                refuse: kind => {
                    remove(entry);
                    settle(err({ kind, retryAfterMilliseconds: expectedWait(waiting.length + 1) }));
                },
            };
            const cancel = (): void => entry.refuse("cancelled");
            signal.addEventListener("abort", cancel);
            entered += 1;
            const ahead = insert(entry);
            if (clock.now() + expectedWait(ahead) > request.startBy) {
                entry.refuse("too-late");
                return;
            }
            nextStart.set(request.clientAccount, virtualStart + request.tokens);
            makeRoom();
            pump();
            void clock.sleep(request.startBy - clock.now(), timer.signal).then(() => {
                if (!timer.signal.aborted) {
                    entry.refuse("too-late");
                }
            });
        });

    return {
        enter: async (request, signal) => {
            if (signal.aborted) {
                return err({ kind: "cancelled", retryAfterMilliseconds: 0 });
            }
            if (waiting.length === 0) {
                const attempt = request.tryStart();
                if (attempt.kind === "done") {
                    return ok(attempt.value);
                }
            }
            const virtualStart = Math.max(virtualTime, nextStart.get(request.clientAccount) ?? 0);
            return enqueue(request, virtualStart, signal);
        },
        pump,
        length: () => waiting.length,
        expectedWait,
    };
};
