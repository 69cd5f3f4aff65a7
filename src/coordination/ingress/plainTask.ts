/**
 * Runs one request of a plain service.
 *
 * What may not repeat is sent again only when nothing was sent or the upstream itself says that it has not run it. The
 * whole answer is read before the caller gets its first byte, so an answer that is cut costs a retry and not the caller.
 */
import type { KnownUpstream } from "./deploymentState.js";
import type { PlainPlaces } from "./plainPlaces.js";
import {
    fail,
    lostAnswerCode,
    noSendings,
    recordLostSending,
    type RequestContext,
    type Sendings,
    type SharedParts,
} from "./requestContext.js";
import {
    findFault,
    isCertainLoss,
    type LostSending,
    readWhole,
    type SendingTimes,
    type UpstreamAnswer,
} from "./upstreamCaller.js";

/** A repeatable request is taken elsewhere when an upstream is silent for this many objectives. */
const objectivesUntilElsewhere = 1.5;
const leastElsewhereMilliseconds = 400;
/** When to come back after a refusal for want of an upstream, with as much again at random to spread returns. */
const returnMilliseconds = 300;
const serverErrorStatus = 500;

type Verdict =
    | { kind: "final"; answer: UpstreamAnswer; body: Buffer[]; }
    | LostSending
    /** The upstream ran the request and answered with an error of its own. */
    | { kind: "failed"; answer: UpstreamAnswer; body: Buffer[]; };

const judge = async (answer: UpstreamAnswer, requestId: string): Promise<Verdict> => {
    const fault = findFault(answer, requestId);
    if (fault !== undefined) {
        answer.close();
        return fault;
    }
    const body = await readWhole(answer);
    if (body === undefined) {
        return { kind: "broken", reason: "the answer was cut" };
    }
    return { kind: answer.status >= serverErrorStatus ? "failed" : "final", answer, body };
};

export const createPlainTask = (places: PlainPlaces, shared: SharedParts) => {
    const { clock, log, metrics, health, retryBudget, random } = shared;

    const attempt = async (context: RequestContext, upstream: KnownUpstream): Promise<Verdict> => {
        const { envelope, route, clientAccount, patienceUntil, answerBy, send, signal } = context;
        const left = answerBy - clock.now();
        const elsewhere = Math.max(leastElsewhereMilliseconds, route.objectiveMilliseconds * objectivesUntilElsewhere);
        const wait = route.kind === "idempotent" ? Math.min(left, elsewhere) : left;
        const times: SendingTimes = { headMilliseconds: wait, silenceMilliseconds: wait };
        const head = { patienceMilliseconds: patienceUntil - clock.now(), clientAccount, lastEventId: undefined };
        const answer = await send(upstream, head, times, signal);
        return answer.isErr() ? answer.error : judge(answer.value, envelope.requestId);
    };

    const deliver = (
        { sink, envelope, arrivedAt }: RequestContext,
        upstreamId: string,
        answer: UpstreamAnswer,
        body: Buffer[],
    ): void => {
        sink.begin(answer.status, answer.fields);
        body.forEach(sink.write);
        sink.end();
        const took = clock.now() - arrivedAt;
        metrics.observe("ingress_plain_answer", took);
        log.request(envelope.requestId, "answered", {
            upstream: upstreamId,
            status: answer.status,
            afterMilliseconds: Math.round(took),
        });
    };

    /** A sending counts against the budget once bytes of the one before may have arrived somewhere. */
    const mayRepeat = (
        { route }: RequestContext,
        { reached }: Sendings,
        last: LostSending["kind"] | undefined,
    ): boolean =>
        reached.size < route.attempts && (last === undefined || last === "unreachable" || retryBudget.takeRetry());

    return async (context: RequestContext): Promise<void> => {
        const { route, service, envelope, signal } = context;
        const sendings = noSendings();
        let lastFailure: { verdict: Extract<Verdict, { kind: "failed"; }>; upstreamId: string; } | undefined;
        let lastReason = "no upstream takes work";
        let lastKind: LostSending["kind"] | undefined;
        retryBudget.recordRequest();
        while (!signal.aborted) {
            const place = places.take(service, sendings.avoided);
            if (place === undefined || !mayRepeat(context, sendings, lastKind)) {
                place?.release();
                break;
            }
            const { upstream, release } = place;
            const sentAt = clock.now();
            const verdict = await attempt(context, upstream);
            release();
            const took = clock.now() - sentAt;
            sendings.avoided.add(upstream.id);
            const isNotThere = verdict.kind !== "final" && verdict.kind !== "failed" && isCertainLoss(verdict);
            if (!isNotThere) {
                sendings.reached.add(upstream.id);
            }
            if (verdict.kind === "final") {
                health.recordAnswer(upstream.id, took);
                deliver(context, upstream.id, verdict.answer, verdict.body);
                return;
            }
            const reason = verdict.kind === "failed" ? `status ${verdict.answer.status}` : verdict.reason;
            if (!signal.aborted) {
                const lost = { kind: verdict.kind, reason, isNotThere, tookMilliseconds: took };
                recordLostSending(shared, envelope.requestId, upstream.id, lost);
            }
            lastReason = reason;
            lastKind = verdict.kind === "failed" ? "broken" : verdict.kind;
            lastFailure = verdict.kind === "failed" ? { verdict, upstreamId: upstream.id } : lastFailure;
            sendings.mayHaveRun ||= verdict.kind === "broken" || verdict.kind === "failed";
            if (sendings.mayHaveRun && route.kind !== "idempotent") {
                break;
            }
        }
        if (lastFailure !== undefined && !signal.aborted) {
            const { verdict, upstreamId } = lastFailure;
            deliver(context, upstreamId, verdict.answer, verdict.body);
        }
        else if (sendings.mayHaveRun || signal.aborted && sendings.reached.size > 0) {
            fail(context, shared, lostAnswerCode(context), { reason: lastReason, reached: [...sendings.reached] });
        }
        else {
            const inputs = { reason: lastReason, reached: [...sendings.reached], avoided: [...sendings.avoided] };
            fail(context, shared, "no-upstream", inputs, returnMilliseconds * (1 + random()));
        }
    };
};
