/**
 * Stand-in for the platform's append-only log, over HTTP.
 *
 * It can simulate an outage, appends that take effect while their response is lost, slow responses, a limit on appends
 * per second and limited retention. A response with status 503 or 429 guarantees that the record was not appended.
 */
import type { Clock } from "../state/types.js";
import { destroyConnection, type StandinApp } from "./httpServer.js";
import { StreamStore } from "./streamStore.js";

export type LogFaults = {
    outage: boolean;
    /** Number of further appends that take effect but whose connection is closed without a response. */
    loseAnswers: number;
    /** Delay before every append or read. */
    delayMilliseconds: number;
    /** Delay between reading records and responding with them. */
    readDelayMilliseconds: number;
    appendsPerSecond: number;
    /** Number of newest records that each stream retains. */
    retentionRecords: number;
};

export const defaultLogFaults: LogFaults = {
    outage: false,
    loseAnswers: 0,
    delayMilliseconds: 0,
    readDelayMilliseconds: 0,
    appendsPerSecond: 500,
    retentionRecords: 100_000,
};

export type LogMetrics = { appends: number; refusedAppends: number; reads: number; bytesIn: number; bytesOut: number; };

const defaultReadLimit = 1_000;

export class PlatformLog {
    readonly faults: LogFaults = { ...defaultLogFaults };
    readonly metrics: LogMetrics = { appends: 0, refusedAppends: 0, reads: 0, bytesIn: 0, bytesOut: 0 };
    private readonly streams = new Map<string, StreamStore>();
    private readonly clock: Clock;
    private readonly signal: AbortSignal;
    /** Token bucket of the append limit. Its capacity is the appends of a tenth of a second, and at least one. */
    private availableAppends = defaultLogFaults.appendsPerSecond / 10;
    private refilledAt = 0;

    constructor(clock: Clock, signal: AbortSignal) {
        this.clock = clock;
        this.signal = signal;
    }

    /** Adds the routes of the log to `app`. */
    addRoutes(app: StandinApp): void {
        app.post("/log/:stream/records", async context => {
            const text = await context.req.text();
            await this.delay(this.faults.delayMilliseconds);
            if (this.faults.outage) {
                this.metrics.refusedAppends += 1;
                return context.json({ error: "the log is not available" }, 503);
            }
            if (!this.takeAvailableAppend()) {
                this.metrics.refusedAppends += 1;
                return context.json({ error: "too many appends a second" }, 429);
            }
            const offset = this.append(context.req.param("stream"), text);
            if (offset === undefined) {
                return context.json({ error: "the record is not JSON" }, 400);
            }
            if (this.faults.loseAnswers > 0) {
                this.faults.loseAnswers -= 1;
                return destroyConnection(context.env);
            }
            return context.json({ offset });
        });
        app.get("/log/:stream/records", async context => {
            const from = Number(context.req.query("from") ?? 0);
            const limit = Number(context.req.query("limit") ?? defaultReadLimit);
            const waitMilliseconds = Number(context.req.query("waitMilliseconds") ?? 0);
            await this.delay(this.faults.delayMilliseconds);
            if (this.faults.outage) {
                return context.json({ error: "the log is not available" }, 503);
            }
            const stream = this.getOrCreateStream(context.req.param("stream"));
            let slice = stream.read(from, limit);
            if (slice.records.length === 0 && waitMilliseconds > 0) {
                await this.waitForAppend(stream, waitMilliseconds, context.req.raw.signal);
                if (this.faults.outage) {
                    return context.json({ error: "the log is not available" }, 503);
                }
                slice = stream.read(from, limit);
            }
            await this.delay(this.faults.readDelayMilliseconds);
            const body = JSON.stringify(slice);
            this.metrics.reads += 1;
            this.metrics.bytesOut += body.length;
            return context.body(body, 200, { "content-type": "application/json" });
        });
        // For observers, whose reads no fault delays or refuses.
        app.get(
            "/log/:stream/inspect",
            context => context.json(this.getOrCreateStream(context.req.param("stream")).read(0, defaultReadLimit)),
        );
    }

    private append(name: string, text: string): number | undefined {
        let body: unknown;
        try {
            body = JSON.parse(text);
        }
        catch {
            return undefined;
        }
        this.metrics.appends += 1;
        this.metrics.bytesIn += text.length;
        return this.getOrCreateStream(name).append(body, this.clock.now(), this.faults.retentionRecords);
    }

    private getOrCreateStream(name: string): StreamStore {
        const existing = this.streams.get(name);
        if (existing !== undefined) {
            return existing;
        }
        const created = new StreamStore();
        this.streams.set(name, created);
        return created;
    }

    private async delay(milliseconds: number): Promise<void> {
        if (milliseconds > 0) {
            await this.clock.sleep(milliseconds, this.signal);
        }
    }

    private async waitForAppend(stream: StreamStore, milliseconds: number, requestSignal: AbortSignal): Promise<void> {
        const waitController = new AbortController();
        const signal = AbortSignal.any([waitController.signal, requestSignal]);
        await Promise.race([stream.nextAppend(signal), this.clock.sleep(milliseconds, signal)]);
        waitController.abort();
    }

    private takeAvailableAppend(): boolean {
        const now = this.clock.now();
        const maximumBurst = Math.max(1, this.faults.appendsPerSecond / 10);
        const refill = (now - this.refilledAt) / 1_000 * this.faults.appendsPerSecond;
        this.availableAppends = Math.min(maximumBurst, this.availableAppends + refill);
        this.refilledAt = now;
        if (this.availableAppends < 1) {
            return false;
        }
        this.availableAppends -= 1;
        return true;
    }
}
