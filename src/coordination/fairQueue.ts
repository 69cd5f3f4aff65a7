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
import { createDequeueRate } from "./dequeueRate.js";

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
    startDeadline: number;
    /** Part of the answer is with the caller already, so the rest goes before all new requests. */
    isResumed?: boolean;
    tryStart: TryStart<Started>;
};

export type FairQueue = {
    /** Starts the request at once if none waits before it, else queues it. */
    submit: <Started>(request: QueueRequest<Started>, signal: AbortSignal) => Promise<Result<Started, QueueRefusal>>;
    /** Starts what can start now; called when a place may have become free. */
    dispatch: () => void;
    /** Number of waiting requests. */
    length: () => number;
    /** Expected wait in milliseconds of a request with `ahead` requests before it. */
    expectedWait: (requestsAhead: number) => number;
};

type QueuedRequest = {
    clientAccount: string;
    /** Place of its priority in the order of service. */
    priorityRank: number;
    virtualStart: number;
    arrivalNumber: number;
    startDeadline: number;
    /** Starts the request and settles its promise; false while it must wait. */
    start: () => boolean;
    refuse: (kind: QueueRefusal["kind"]) => void;
};

const resumedPriorityRank = -1;
const priorityRanks: Record<Priority, number> = { interactive: 0, standard: 1, batch: 2 };

/** Waiting requests tried in one go when the first of them can't start, as one may avoid hosts that others do not. */
const blockedRequestsTried = 4;

const compareServiceOrder = (left: QueuedRequest, right: QueuedRequest): number =>
    left.priorityRank - right.priorityRank || left.virtualStart - right.virtualStart
    || left.arrivalNumber - right.arrivalNumber;

export const createFairQueue = (clock: Clock, queueLimit: () => number): FairQueue => {
    const dequeueRate = createDequeueRate(clock);
    /** Kept in the order of service. */
    const waiting: QueuedRequest[] = [];
    /** For each account the virtual time at which its next request starts. */
    const nextVirtualStart = new Map<string, number>();
    let virtualTime = 0;
    let arrivals = 0;

    const remove = (request: QueuedRequest): void => {
        const position = waiting.indexOf(request);
        if (position >= 0) {
            waiting.splice(position, 1);
        }
        if (waiting.length === 0) {
            dequeueRate.recordIdle();
            nextVirtualStart.clear();
        }
    };

    const insert = (request: QueuedRequest): number => {
        const found = waiting.findIndex(other => compareServiceOrder(request, other) < 0);
        const position = found < 0 ? waiting.length : found;
        waiting.splice(position, 0, request);
        dequeueRate.recordBusy();
        return position;
    };

    const dispatch = (): void => {
        let blocked = 0;
        while (waiting[blocked] !== undefined && blocked < blockedRequestsTried) {
            const request = waiting[blocked] as QueuedRequest;
            if (request.startDeadline <= clock.now()) {
                request.refuse("too-late");
            }
            else if (request.start()) {
                virtualTime = Math.max(virtualTime, request.virtualStart);
                dequeueRate.recordDequeue();
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
    const chooseRequestToEvict = (): QueuedRequest | undefined => {
        const lowestPriorityRank = waiting.at(-1)?.priorityRank;
        const counts = countByAccount();
        return waiting
            .filter(request => request.priorityRank === lowestPriorityRank)
            .reduce<QueuedRequest | undefined>(
                (chosen, request) =>
                    chosen === undefined
                        || (counts.get(request.clientAccount) ?? 0) >= (counts.get(chosen.clientAccount) ?? 0)
                        ? request
                        : chosen,
                undefined,
            );
    };

    const evictExcess = (): void => {
        while (waiting.length > queueLimit()) {
            chooseRequestToEvict()?.refuse("full");
        }
    };

    const expectedWait = (requestsAhead: number): number => dequeueRate.expectedWait(requestsAhead);

    const enqueue = <Started>(
        request: QueueRequest<Started>,
        virtualStart: number,
        signal: AbortSignal,
    ): Promise<Result<Started, QueueRefusal>> =>
        new Promise(resolve => {
            const timeout = new AbortController();
            const settle = (result: Result<Started, QueueRefusal>): void => {
                timeout.abort();
                signal.removeEventListener("abort", cancel);
                resolve(result);
            };
            const queued: QueuedRequest = {
                clientAccount: request.clientAccount,
                priorityRank: request.isResumed === true ? resumedPriorityRank : priorityRanks[request.priority],
                virtualStart,
                arrivalNumber: arrivals,
                startDeadline: request.startDeadline,
                start: () => {
                    const attempt = request.tryStart();
                    if (attempt.kind === "done") {
                        settle(ok(attempt.value));
                    }
                    return attempt.kind === "done";
                },
                refuse: kind => {
                    remove(queued);
                    settle(err({ kind, retryAfterMilliseconds: expectedWait(waiting.length + 1) }));
                },
            };
            const cancel = (): void => queued.refuse("cancelled");
            signal.addEventListener("abort", cancel);
            arrivals += 1;
            const requestsAhead = insert(queued);
            if (clock.now() + expectedWait(requestsAhead) > request.startDeadline) {
                queued.refuse("too-late");
                return;
            }
            nextVirtualStart.set(request.clientAccount, virtualStart + request.tokens);
            evictExcess();
            dispatch();
            void clock.sleep(request.startDeadline - clock.now(), timeout.signal).then(() => {
                if (!timeout.signal.aborted) {
                    queued.refuse("too-late");
                }
            });
        });

    return {
        submit: async (request, signal) => {
            if (signal.aborted) {
                return err({ kind: "cancelled", retryAfterMilliseconds: 0 });
            }
            if (waiting.length === 0) {
                const attempt = request.tryStart();
                if (attempt.kind === "done") {
                    return ok(attempt.value);
                }
            }
            const virtualStart = Math.max(virtualTime, nextVirtualStart.get(request.clientAccount) ?? 0);
            return enqueue(request, virtualStart, signal);
        },
        dispatch: dispatch,
        length: () => waiting.length,
        expectedWait,
    };
};
