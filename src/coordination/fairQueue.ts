/**
 * Bounded queue of an entry for one target, in which requests wait while no upstream has free capacity.
 *
 * Higher priorities are served first. Within one priority, capacity is divided among client accounts by requested
 * tokens (start-time fair queueing): each request has a virtual start time, which advances by the tokens of the
 * account's earlier requests, and the lowest is served next. A full queue evicts a request of the lowest priority, and
 * among these one of the account with the most queued requests, so that one account cannot crowd out the others.
 *
 * A request that cannot start in time is refused on arrival, based on its position and the measured dequeue rate,
 * instead of waiting until its deadline in vain.
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock, Priority } from "../state/types.js";
import { createDequeueRate } from "./dequeueRate.js";

/** `full`: evicted from a full queue; `too-late`: cannot start in time; `cancelled`: its signal aborted. */
export type QueueRefusal = {
    kind: "full" | "too-late" | "cancelled";
    /** Expected wait of a request at the end of the queue. */
    retryAfterMilliseconds: number;
};

/** Tries to start a request now; `wait` leaves it in the queue, `done` carries the result. */
export type TryStart<Started> = () => { kind: "wait"; } | { kind: "done"; value: Started; };

export type QueueRequest<Started> = {
    clientAccount: string;
    /** A rank has 0 as the first. */
    priority: Priority | number;
    /** Cost of the request in the division among accounts. */
    tokens: number;
    /** Latest time at which the request may start, in milliseconds by the clock. */
    startDeadline: number;
    /** The caller already has part of the response, so the request is served before all new ones. */
    isResumed?: boolean;
    tryStart: TryStart<Started>;
};

export type FairQueue = {
    /** Starts the request at once if it can and none is queued before it, otherwise queues it. */
    submit: <Started>(request: QueueRequest<Started>, signal: AbortSignal) => Promise<Result<Started, QueueRefusal>>;
    /** Starts the queued requests that can start now; to be called when capacity may have become free. */
    dispatch: () => void;
    length: () => number;
    /** Expected wait in milliseconds of a request with `requestsAhead` requests before it. */
    expectedWait: (requestsAhead: number) => number;
};

type QueuedRequest = {
    clientAccount: string;
    /** Lower ranks are served first. */
    priorityRank: number;
    virtualStart: number;
    arrivalNumber: number;
    startDeadline: number;
    /** Starts the request and resolves its promise; false if it must keep waiting. */
    start: () => boolean;
    refuse: (kind: QueueRefusal["kind"]) => void;
};

const resumedPriorityRank = -1;
const priorityRanks: Record<Priority, number> = { interactive: 0, standard: 1, batch: 2 };

const rankOf = (priority: Priority | number): number =>
    typeof priority === "number" ? priority : priorityRanks[priority];

/** One pass skips up to this many blocked requests; a later one may start, as requests avoid different hosts. */
const blockedRequestsTried = 4;

const compareServiceOrder = (left: QueuedRequest, right: QueuedRequest): number =>
    left.priorityRank - right.priorityRank || left.virtualStart - right.virtualStart
    || left.arrivalNumber - right.arrivalNumber;

export const createFairQueue = (clock: Clock, queueLimit: () => number): FairQueue => {
    const dequeueRate = createDequeueRate(clock);
    /** In the order of service. */
    const waiting: QueuedRequest[] = [];
    /** Virtual start time of each account's next request. */
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

    /** Among the requests of the lowest priority, the last one of the account with the most queued requests. */
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
                priorityRank: request.isResumed === true ? resumedPriorityRank : rankOf(request.priority),
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
        dispatch,
        length: () => waiting.length,
        expectedWait,
    };
};
