/**
 * Abort signals with a time limit that leave nothing behind.
 *
 * `AbortSignal.any` keeps an entry in a long-lived source signal for each derived one, which grows without bound in a
 * daemon that makes a call every second.
 */

export type BoundedSignal = {
    readonly signal: AbortSignal;
    /** Starts the time limit anew. */
    readonly renew: () => void;
    /** Drops the timer and the listener; to be called when the call has ended. */
    readonly release: () => void;
};

/** A signal that aborts with `owner`, or after `milliseconds`. */
export const boundSignal = (owner: AbortSignal, milliseconds: number): BoundedSignal => {
    const controller = new AbortController();
    const abort = (): void => controller.abort(owner.reason);
    const timer = setTimeout(
        () => controller.abort(new Error(`no answer within ${milliseconds} ms`)),
        milliseconds,
    );
    owner.addEventListener("abort", abort, { once: true });
    if (owner.aborted) {
        abort();
    }
    const release = (): void => {
        clearTimeout(timer);
        owner.removeEventListener("abort", abort);
    };
    return { signal: controller.signal, renew: () => void timer.refresh(), release };
};
