/**
 * The link of one machine, shared evenly by the transfers in progress, on a stepped clock.
 */
import { setMaxListeners } from "node:events";
import type { Clock } from "../../src/state/types.js";

export type SharedLink = {
    /** Sends `bytes`; false if they were not through within the timeout, after which the rest is dropped. */
    send: (bytes: number, timeoutMilliseconds: number) => Promise<boolean>;
};

const stepMilliseconds = 5;

export const startSharedLink = (megabitsPerSecond: number, clock: Clock, signal: AbortSignal): SharedLink => {
    const bytesPerStep = megabitsPerSecond * 1_000_000 / 8 * stepMilliseconds / 1_000;
    const transfers = new Set<{ remaining: number; done: () => void; }>();

    const run = async (): Promise<void> => {
        while (!signal.aborted) {
            await clock.sleep(stepMilliseconds, signal);
            const share = bytesPerStep / transfers.size;
            for (const transfer of [...transfers]) {
                transfer.remaining -= share;
                if (transfer.remaining <= 0) {
                    transfers.delete(transfer);
                    transfer.done();
                }
            }
        }
    };
    void run();

    return {
        send: async (bytes, timeoutMilliseconds) => {
            const timeout = new AbortController();
            setMaxListeners(0, timeout.signal);
            let isThrough = false;
            const transfer = {
                remaining: bytes,
                done: () => {
                    isThrough = true;
                    timeout.abort();
                },
            };
            transfers.add(transfer);
            await clock.sleep(timeoutMilliseconds, timeout.signal);
            transfers.delete(transfer);
            return isThrough;
        },
    };
};
