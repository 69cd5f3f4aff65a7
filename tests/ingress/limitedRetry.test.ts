/**
 * Requests that come late to an upstream at its limit, after an attempt or a long read, while another has none.
 */
import { expect } from "chai";
import { ok } from "neverthrow";
import type { KnownUpstream } from "../../src/coordination/ingress/deploymentState.js";
import { createIngressLog } from "../../src/coordination/ingress/ingressLog.js";
import type { RequestContext, RequestDependencies } from "../../src/coordination/ingress/requestContext.js";
import { createStreamAdmission } from "../../src/coordination/ingress/streamAdmission.js";
import type { StreamScheduler } from "../../src/coordination/ingress/streamScheduler.js";
import type { UnaryScheduler } from "../../src/coordination/ingress/unaryScheduler.js";
import { createUnaryTask } from "../../src/coordination/ingress/unaryTask.js";
import { createUpstreamHealth } from "../../src/coordination/ingress/upstreamHealth.js";
import { createMetrics } from "../../src/coordination/metrics.js";
import { createRetryBudget } from "../../src/coordination/retryBudget.js";
import { noCrashEvidence, unusedCrashObserver } from "../support/crashes.js";
import { steppedClock } from "../support/steppedClock.js";
import { listedUpstream } from "../support/upstreams.js";

describe("a request that is late for an upstream at its limit", () => {
    const clock = steppedClock(1_000);
    const log = createIngressLog(() => undefined, clock);
    const limited: KnownUpstream = { ...listedUpstream({ id: "limited" }), goneAt: undefined };
    const open: KnownUpstream = { ...listedUpstream({ id: "open" }), goneAt: undefined };
    let isClosed = false;
    const limitState = () => ({ millisecondsUntilOpen: 0, limited: ["limited"] });
    const choose = (): KnownUpstream => isClosed ? open : limited;
    const dependencies: RequestDependencies = {
        clock,
        log,
        metrics: createMetrics(),
        health: createUpstreamHealth(clock, log),
        retryBudget: createRetryBudget(clock, () => 1),
        crashObserver: unusedCrashObserver,
        crashEvidence: noCrashEvidence,
        upstreamLimits: {
            take: async ({ id }) => {
                isClosed ||= id === "limited";
                return id === "open";
            },
        },
        random: () => 0.5,
    };
    const arrivedAt = 0;
    const context = (sentTo: string[], codes: string[]): RequestContext => ({
        envelope: { requestId: "r", promptTokens: 1, maximumAnswerTokens: 1 },
        route: { name: "r", kind: "idempotent", attempts: 2, objectiveMilliseconds: 400 },
        traits: { content: "c", parts: [] },
        service: "plain",
        priority: 1,
        arrivedAt,
        callerDeadlineAt: 5_000,
        responseDueAt: 5_000,
        send: async ({ id }: KnownUpstream) => {
            sentTo.push(id);
            const metadata = { requestId: "r", isSealed: true, isNotRun: false };
            const body = (async function*() {
                yield Buffer.from("whole");
            })();
            const ending = () => ({ framing: "length", end: "marked", bodyBytes: 5 });
            return ok({ status: 200, metadata, headers: [], body, ending, close: () => undefined });
        },
        sink: {
            start: () => undefined,
            write: () => undefined,
            end: () => undefined,
            refuse: ({ code }: { code: string; }) => codes.push(code),
            hasStarted: () => false,
        },
        signal: new AbortController().signal,
        callerGone: new AbortController().signal,
    } as unknown as RequestContext);

    beforeEach(() => {
        isClosed = false;
    });

    it("goes to one without a limit instead of being refused (plain)", async () => {
        const scheduler = { reserve: () => ({ upstream: choose(), release: () => undefined }), limitState };
        const sentTo: string[] = [];
        const codes: string[] = [];
        const responseTimes = { record: () => undefined };
        const run = createUnaryTask(scheduler as unknown as UnaryScheduler, responseTimes, dependencies);
        await run(context(sentTo, codes));
        expect(sentTo).to.deep.equal(["open"]);
        expect(codes).to.deep.equal([]);
    });

    it("goes to one without a limit instead of being refused (stream)", async () => {
        const scheduler = {
            reserve: () => ({ upstream: choose(), release: () => undefined }),
            hasUpstream: () => true,
            groups: () => [],
            limitState,
        };
        const admission = createStreamAdmission(scheduler as unknown as StreamScheduler, dependencies);
        const entered = await admission.enter(context([], []));
        expect(entered.map(({ upstream }) => upstream.id)).to.deep.equal(ok("open"));
    });
});
