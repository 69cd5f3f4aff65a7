/**
 * Runs the budget of an entry for what it holds for callers and servers, with its log lines and metrics.
 */
import type { IncomingMessage } from "node:http";
import {
    budgetLimitBytes,
    type BufferBudget,
    checkIntervalMilliseconds,
    createBufferBudget,
} from "../../coordination/ingress/bufferBudget.js";
import type { IngressLog } from "../../coordination/ingress/ingressLog.js";
import type { Metrics } from "../../coordination/metrics.js";
import type { IngressConfig } from "../../protocol/ingressConfig.js";
import { type Refusal, refusal } from "../../state/errors.js";
import type { Clock } from "../../state/types.js";
import type { PlatformAdapter } from "./platformAdapter.js";
import type { OnReaderEnded } from "./requestBuffers.js";

export type Buffering = {
    budget: BufferBudget;
    onReaderEnded: OnReaderEnded;
    /** Builds and logs the refusal of a request that the budget has no room for. */
    refuse: (message: IncomingMessage) => Refusal;
    /** The budget's values in the text form of metrics. */
    metricsText: () => string;
};

export type BufferingDependencies = {
    clock: Clock;
    log: IngressLog;
    metrics: Metrics;
    random: () => number;
    signal: AbortSignal;
};

const millisecondsPerSecond = 1_000;

/** Undefined if callers and servers of the platform read as fast as they are sent to. */
export const startBuffering = (
    { conditions, headerAdapter }: Pick<PlatformAdapter, "conditions" | "headerAdapter">,
    { host, memoryMegabytes }: Pick<IngressConfig, "host" | "memoryMegabytes">,
    { clock, log, metrics, random, signal }: BufferingDependencies,
): Buffering | undefined => {
    if (!conditions.hasSlowReaders) {
        return undefined;
    }
    const budget = createBufferBudget({
        limitBytes: budgetLimitBytes(memoryMegabytes),
        clock,
        random,
        onRefusingChange: (isRefusing, details) =>
            log.stateChange(isRefusing ? "buffers nearly spent" : "buffers relieved", details),
    });
    const timer = setInterval(budget.check, checkIntervalMilliseconds);
    timer.unref();
    signal.addEventListener("abort", () => clearInterval(timer), { once: true });
    return {
        budget,
        onReaderEnded: (requestId, cause, details) => {
            const { kind } = details;
            metrics.count(`ingress_readers_ended_total{kind="${String(kind)}",cause="${cause}"}`);
            // The request of a server that is ended goes on, and logs its own end.
            if (kind === "caller") {
                log.failure(requestId, "failed", { code: "slow-reader", cause, ...details });
            }
            else {
                log.request(requestId, "server ended", { cause, ...details });
            }
        },
        refuse: message => {
            const code = "buffers-full";
            const { heldBytes, limitBytes, readers } = budget.state();
            metrics.count(`ingress_failures_total{code="${code}"}`);
            log.failure(headerAdapter.readEnvelope(message).requestId, "refused", {
                code,
                heldBytes,
                limitBytes,
                readers,
            });
            const retryAfterSeconds = Math.round(budget.suggestedRetryMilliseconds()) / millisecondsPerSecond;
            return refusal(code, [host], retryAfterSeconds);
        },
        metricsText: () => {
            const { heldBytes, limitBytes, peakBytes, readers } = budget.state();
            return [
                `ingress_held_bytes ${heldBytes}`,
                `ingress_held_bytes_peak ${peakBytes}`,
                `ingress_held_bytes_limit ${limitBytes}`,
                `ingress_held_requests ${readers}`,
                `ingress_resident_bytes ${process.memoryUsage.rss()}`,
                "",
            ].join("\n");
        },
    };
};
