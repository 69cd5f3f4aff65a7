/**
 * Explains the outcome of a request from log lines: the lines of the request itself, and the state of its entry at the
 * time.
 *
 * The explanation is only as complete as the logs; the context shows whether lines were dropped by the rate limit.
 */
import type { LogLine } from "../../state/ingressTypes.js";

/**
 * `load`: no capacity in time; `lost`: an attempt may have been executed; `listing`: the cause lies in the upstreams,
 * zones or routes that the entry knew; `held-back`: requests like it crash upstreams.
 */
export type CauseKind = "answered" | "load" | "lost" | "listing" | "held-back" | "caller-gone" | "unknown";

export type Explanation = {
    kind: CauseKind;
    /** One sentence. */
    verdict: string;
    /** The request's own lines, oldest first. */
    request: LogLine[];
    /** Lines from the same time about upstreams, zones, groups, the store and expert maps that may explain it. */
    context: LogLine[];
};

/**
 * How far back a stall, an outage or an expert map may explain a refusal: long enough to re-form a group and to apply
 * one map.
 */
const contextWindowMilliseconds = 6_000;

const causesByErrorCode: Record<string, [CauseKind, string]> = {
    "cannot-start-in-time": [
        "load",
        "no group had capacity within the share of the latency objective that may be spent queueing",
    ],
    "queue-full": ["load", "the queue was full: more streams were waiting than could start in time"],
    "buffers-full": [
        "load",
        "the entry held almost as many bytes for slow callers and servers as its memory allows, so it took no request",
    ],
    "slow-reader": [
        "caller-gone",
        "its caller read too slowly, and the entry closed the connection to free memory or as the answer was overdue",
    ],
    "outranked": [
        "load",
        "capacity was short, and more urgent streams of all entries left only a share of it to its priority",
    ],
    "upstreams-limited": [
        "load",
        "every usable upstream was at the limit on requests that it states, see the limited ones",
    ],
    "no-upstream": ["listing", "no upstream of the service was listed, open and in a running group"],
    "not-ready": ["listing", "the entry had no configuration recent enough for a final refusal"],
    "crashes-upstreams": [
        "held-back",
        "it has a trait that was in flight when several upstreams crashed, see its hold",
    ],
    "unknown-route": ["listing", "no route of the active configuration matches the host and path"],
    "unauthenticated": ["listing", "no account of the active configuration has the API key"],
    "interrupted": ["lost", "an attempt may have been executed, and the request could not be retried or resumed"],
    "no-answer-in-time": ["lost", "no complete response arrived before the route's timeout or the caller's deadline"],
};

const findCause = (request: LogLine[]): [CauseKind, string] => {
    const finalLine = request.findLast(({ event }) =>
        ["refused", "failed", "answered", "caller disconnected"].includes(event)
    );
    if (finalLine === undefined) {
        return ["unknown", "no log line shows how it ended; lines may have been dropped by the rate limit, see below"];
    }
    if (finalLine.event === "answered") {
        return ["answered", "it got a complete response"];
    }
    if (finalLine.event === "caller disconnected") {
        return ["caller-gone", "its caller disconnected before the response was complete"];
    }
    return causesByErrorCode[String(finalLine["code"])]
        ?? ["unknown", `it ended with the code ${String(finalLine["code"])}`];
};

/** The ids of the upstreams that the request's lines name. */
const upstreamsNamedIn = (request: LogLine[]): Set<unknown> =>
    new Set(
        request.flatMap(line =>
            [line["upstream"], line["reached"], line["avoided"], line["upstreams"], line["limited"]].flat()
        ),
    );

const groupsNamedIn = (request: LogLine[]): Set<unknown> =>
    new Set(
        request.flatMap(({ groups }) =>
            Array.isArray(groups) ? groups.map((load: { group?: unknown; }) => load.group) : []
        ),
    );

const upstreamEvents = new Set([
    "upstream listed",
    "upstream unlisted",
    "upstream ejected",
    "upstream crashed",
    "upstream states a limit",
    "upstream limit ended",
    "permit not answered",
]);
const entryEvents = new Set([
    "requests held back",
    "requests released",
    "zone evacuated",
    "zone returned",
    "dependency lost",
    "dependency regained",
    "store read failed",
    "log lines dropped",
    "buffers nearly spent",
    "buffers relieved",
    "capacity divided by priority",
    "capacity no longer divided",
]);
const groupEvents = new Set(["group stalled", "group recovered", "group formed", "expert map", "hold resolved"]);

/** Explains `requestId` from the lines of any number of logs, in any order; undefined if no line names it. */
export const explainRequest = (requestId: string, lines: LogLine[]): Explanation | undefined => {
    const chronological = lines.slice().sort((left, right) => left.timestamp.localeCompare(right.timestamp));
    const request = chronological.filter(line => line["requestId"] === requestId);
    const [first] = request;
    const last = request.at(-1);
    if (first === undefined || last === undefined) {
        return undefined;
    }
    const end = Date.parse(last.timestamp);
    const upstreams = upstreamsNamedIn(request);
    const groups = groupsNamedIn(request);
    /** The last line of each event for each upstream, and the last configuration line, however old. */
    const latest = new Map<string, LogLine>();
    const context: LogLine[] = [];
    for (const line of chronological) {
        const at = Date.parse(line.timestamp);
        if (at > end) {
            break;
        }
        const isSameEntry = line.host === first.host;
        if (isSameEntry && upstreamEvents.has(line.event) && upstreams.has(line["id"])) {
            latest.set(`${line.event} ${String(line["id"])}`, line);
        }
        else if (isSameEntry && line.event === "configuration in force") {
            latest.set(line.event, line);
        }
        else if (at >= end - contextWindowMilliseconds) {
            const isRelevantGroup = groupEvents.has(line.event) && (groups.size === 0 || groups.has(line["group"]));
            if (isSameEntry && entryEvents.has(line.event) || isRelevantGroup) {
                context.push(line);
            }
        }
    }
    const [kind, verdict] = findCause(request);
    const contextLines = [...latest.values(), ...context];
    return {
        kind,
        verdict,
        request,
        context: contextLines.sort((left, right) => left.timestamp.localeCompare(right.timestamp)),
    };
};
