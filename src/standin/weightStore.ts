/**
 * Stand-in for the platform's rate-limited weight store, which serves transfers one after another.
 */
import type { Clock } from "../state/types.js";
import type { StandinApp } from "./httpServer.js";

export type WeightStoreFaults = { bytesPerSecond: number; outage: boolean; };

export class WeightStore {
    readonly faults: WeightStoreFaults = { bytesPerSecond: 1_000_000_000, outage: false };
    /** Total size of the completed transfers. */
    transferredBytes = 0;
    private readonly clock: Clock;
    private readonly signal: AbortSignal;
    /** Time at which the last queued transfer ends. */
    private busyUntil = 0;

    constructor(clock: Clock, signal: AbortSignal) {
        this.clock = clock;
        this.signal = signal;
    }

    /** Adds the route of the weight store to `app`; it responds when the transfer has ended. */
    addRoutes(app: StandinApp): void {
        app.post("/weights/transfers", async context => {
            const { bytes } = await context.req.json<{ bytes: number; }>();
            if (this.faults.outage) {
                return context.json({ error: "the weight store is not available" }, 503);
            }
            const now = this.clock.now();
            const start = Math.max(now, this.busyUntil);
            this.busyUntil = start + bytes / this.faults.bytesPerSecond * 1_000;
            await this.clock.sleep(this.busyUntil - now, this.signal);
            this.transferredBytes += bytes;
            return context.json({ bytes });
        });
    }
}
