/**
 * Stand-in for a plain service. It records every execution, so that a test can count how often a request took effect.
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
    /** Delay before the request is executed. */
    delayMilliseconds: number;
    /** Delay between the execution and its response. */
    answerDelayMilliseconds: number;
    /** Number of further requests that are executed but lose their response. */
    cutAfterRun: number;
    /** Number of further requests whose connection is closed before they are executed. */
    cutBeforeRun: number;
};

export type PlainServiceOptions = { listen: string; clock: Clock; signal: AbortSignal; };

export type PlainService = RunningServer & { runs: ServiceRun[]; faults: ServiceFaults; };

/** Starts the service on `listen` (`ip:port`); it runs until `signal` aborts. */
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

/** Returns the parsed body if it is JSON, else its text. */
const parseJsonOrText = (body: string): unknown => {
    try {
        return JSON.parse(body);
    }
    catch {
        return body;
    }
};
