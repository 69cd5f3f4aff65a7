/**
 * Abort signals with a time limit that leave nothing behind.
 *
 * `AbortSignal.any` keeps an entry in a long-lived source signal for each derived one, which grows without bound in a
 * daemon that makes a call every second.
 */

export type TimeoutSignal = {
    readonly signal: AbortSignal;
    /** Starts the time limit anew. */
    readonly restart: () => void;
    /** Drops the timer and the listener; to be called when the call has ended. */
    readonly dispose: () => void;
};

/** A signal that aborts with `owner`, or after `milliseconds`. */
export const createTimeoutSignal = (parent: AbortSignal, timeoutMilliseconds: number): TimeoutSignal => {
    const controller = new AbortController();
    const abort = (): void => controller.abort(parent.reason);
    const timer = setTimeout(
        () => controller.abort(new Error(`no answer within ${timeoutMilliseconds} ms`)),
        timeoutMilliseconds,
    );
    parent.addEventListener("abort", abort, { once: true });
    if (parent.aborted) {
        abort();
    }
    const release = (): void => {
        clearTimeout(timer);
        parent.removeEventListener("abort", abort);
    };
    return { signal: controller.signal, restart: () => void timer.refresh(), dispose: release };
};
