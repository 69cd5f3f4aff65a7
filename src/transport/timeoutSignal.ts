/**
 * Abort signals with a timeout that release all resources when they are disposed of.
 *
 * `AbortSignal.any` keeps a reference to each derived signal in a long-lived source signal, so the source grows without
 * bound in a daemon that makes a call every second.
 */

export type TimeoutSignal = {
    readonly signal: AbortSignal;
    readonly abort: (reason: Error) => void;
    /** Restarts the timeout. */
    readonly restart: () => void;
    /** Removes the timer and the listener; must be called when the operation has ended. */
    readonly dispose: () => void;
};

/** Creates a signal that aborts when `parent` aborts or after `timeoutMilliseconds`. */
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
    return {
        signal: controller.signal,
        abort: reason => controller.abort(reason),
        restart: () => void timer.refresh(),
        dispose: release,
    };
};
