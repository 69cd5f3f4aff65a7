/**
 * Stand-in for a plain service: it records every run, so that a test can count how often a request took effect.
 */
import type { Clock } from "../state/types.js";
import { createApp, destroyConnection, type RunningServer, serveApp } from "./httpServer.js";

/** One execution of a request. */
export type ServiceRun = {
    requestId?: string;
    idempotencyKey?: string;
    method: string;
    path: string;
    body: string;
    /** Milliseconds since the epoch. */
    at: number;
};

export type ServiceFaults = {
    /** Wait before the run. */
    delayMilliseconds: number;
    /** Wait between the run and its answer. */
    answerDelayMilliseconds: number;
    /** So many of the next runs take effect and lose their answer. */
    cutAfterRun: number;
    /** So many of the next requests lose their connection before they run. */
    cutBeforeRun: number;
};

export type PlainServiceOptions = { listen: string; clock: Clock; signal: AbortSignal; };

export type PlainService = RunningServer & { runs: ServiceRun[]; faults: ServiceFaults; };

/** Starts the service on `listen` (`ip:port`) until `signal` aborts. */
export const startPlainService = async (options: PlainServiceOptions): Promise<PlainService> => {
    const { listen, clock, signal } = options;
    const runs: ServiceRun[] = [];
    const faults: ServiceFaults = {
        delayMilliseconds: 0,
        answerDelayMilliseconds: 0,
        cutAfterRun: 0,
        cutBeforeRun: 0,
    };
    const app = createApp();
    app.get("/_runs", context => context.json(runs));
    app.post("/_faults", async context => {
        Object.assign(faults, await context.req.json<Partial<ServiceFaults>>());
        return context.json(faults);
    });
    app.all("*", async context => {
        const body = await context.req.text();
        const path = new URL(context.req.url).pathname;
        await delay(faults.delayMilliseconds, clock, signal);
        if (faults.cutBeforeRun > 0) {
            faults.cutBeforeRun -= 1;
            return destroyConnection(context.env);
        }
        const requestId = context.req.header("x-request-id");
        const idempotencyKey = context.req.header("idempotency-key");
        const receipt = runs.push({
            ...(requestId === undefined ? {} : { requestId }),
            ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
            method: context.req.method,
            path,
            body,
            at: clock.now(),
        });
        await delay(faults.answerDelayMilliseconds, clock, signal);
        if (faults.cutAfterRun > 0) {
            faults.cutAfterRun -= 1;
            return destroyConnection(context.env);
        }
        return context.json({ receipt, path, echo: parseJsonOrText(body) });
    });
    const server = await serveApp(app, listen, signal);
    return { ...server, runs, faults };
};

const delay = async (milliseconds: number, clock: Clock, signal: AbortSignal): Promise<void> => {
    if (milliseconds > 0) {
        await clock.sleep(milliseconds, signal);
    }
};

/** The body as JSON where it is JSON, else as text. */
const parseJsonOrText = (body: string): unknown => {
    try {
        return JSON.parse(body);
    }
    catch {
        return body;
    }
};
