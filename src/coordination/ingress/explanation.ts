/**
 * From a request's id to its cause: what the logs say of the request, and what its entry believed when it decided.
 *
 * Only lines are read, so the answer is as good as the logs: lines that were dropped for their budget are told as such.
 */
import type { LogLine } from "../../state/ingressTypes.js";

/** `load`: no place in time; `lost`: a sending may have run; `listing`: what was known of servers, zones or routes. */
export type CauseKind = "answered" | "load" | "lost" | "listing" | "caller-gone" | "unknown";

export type Explanation = {
    kind: CauseKind;
    /** One sentence. */
    verdict: string;
    /** The request's own lines, oldest first. */
    request: LogLine[];
    /** Lines of the same time that bear on it: upstreams, zones, groups, store, expert maps. */
    context: LogLine[];
};

/** How far back a stall, an outage or a map still explains a refusal: over a group's forming and one map. */
const contextMilliseconds = 6_000;

const verdicts: Record<string, [CauseKind, string]> = {
    "cannot-start-in-time": ["load", "no group had a place within the part of the objective that may go into waiting"],
    "queue-full": ["load", "more streams waited than could start in time"],
    "no-upstream": ["listing", "no upstream of the service was listed, open and in a group that runs"],
    "not-ready": ["listing", "the entry knew no configuration that is recent enough to refuse for good"],
    "unknown-route": ["listing", "no route of the configuration in force begins the path"],
    "unauthenticated": ["listing", "no account of the configuration in force has the key"],
    "interrupted": ["lost", "a sending may have run and could not be repeated or taken up again"],
    "no-answer-in-time": ["lost", "no whole answer came before the route's timeout or the caller's patience ended"],
};

const verdictOf = (request: LogLine[]): [CauseKind, string] => {
    const ending = request.findLast(({ event }) => ["refused", "failed", "answered", "caller gone"].includes(event));
    if (ending === undefined) {
        return ["unknown", "no line tells how it ended; lines may have been dropped for their budget, see below"];
    }
    if (ending.event === "answered") {
        return ["answered", "it was answered"];
    }
    if (ending.event === "caller gone") {
        return ["caller-gone", "its caller left before an answer was whole"];
    }
    return verdicts[String(ending["code"])] ?? ["unknown", `it ended with the code ${String(ending["code"])}`];
};

/** The upstreams that the request's lines name. */
const upstreamsOf = (request: LogLine[]): Set<unknown> =>
    new Set(request.flatMap(line => [line["upstream"], line["reached"], line["avoided"], line["upstreams"]].flat()));

const groupsOf = (request: LogLine[]): Set<unknown> =>
    new Set(
        request.flatMap(({ groups }) =>
            Array.isArray(groups) ? groups.map((load: { group?: unknown; }) => load.group) : []
        ),
    );

const listingEvents = new Set(["upstream listed", "upstream unlisted", "upstream passed over"]);
const stateEvents = new Set([
    "zone evacuated",
    "zone returned",
    "dependency lost",
    "dependency regained",
    "store read failed",
    "log lines dropped",
]);
const groupEvents = new Set(["group stalled", "group runs again", "group formed", "expert map", "hold resolved"]);

/** Explains `requestId` from the lines of any number of logs, in any order; undefined if none names it. */
export const explainRequest = (requestId: string, lines: LogLine[]): Explanation | undefined => {
    const byTime = lines.slice().sort((left, right) => left.timestamp.localeCompare(right.timestamp));
    const request = byTime.filter(line => line["requestId"] === requestId);
    const [first] = request;
    const last = request.at(-1);
    if (first === undefined || last === undefined) {
        return undefined;
    }
    const end = Date.parse(last.timestamp);
    const upstreams = upstreamsOf(request);
    const groups = groupsOf(request);
    /** The last line of each kind about each thing, however long ago. */
    const latest = new Map<string, LogLine>();
    const context: LogLine[] = [];
    for (const line of byTime) {
        const at = Date.parse(line.timestamp);
        if (at > end) {
            break;
        }
        const isOwn = line.host === first.host;
        if (isOwn && listingEvents.has(line.event) && upstreams.has(line["id"])) {
            latest.set(`${line.event} ${String(line["id"])}`, line);
        }
        else if (isOwn && line.event === "configuration in force") {
            latest.set(line.event, line);
        }
        else if (at >= end - contextMilliseconds) {
            const isOfGroup = groupEvents.has(line.event) && (groups.size === 0 || groups.has(line["group"]));
            if (isOwn && stateEvents.has(line.event) || isOfGroup) {
                context.push(line);
            }
        }
    }
    const [kind, verdict] = verdictOf(request);
    const all = [...latest.values(), ...context];
    return {
        kind,
        verdict,
        request,
        context: all.sort((left, right) => left.timestamp.localeCompare(right.timestamp)),
    };
};
