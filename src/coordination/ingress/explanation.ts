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
const contextWindowMilliseconds = 6_000;

const causesByErrorCode: Record<string, [CauseKind, string]> = {
    "cannot-start-in-time": ["load", "no group had a place within the part of the objective that may go into waiting"],
    "queue-full": ["load", "more streams waited than could start in time"],
    "no-upstream": ["listing", "no upstream of the service was listed, open and in a group that runs"],
    "not-ready": ["listing", "the entry knew no configuration that is recent enough to refuse for good"],
    "unknown-route": ["listing", "no route of the configuration in force begins the path"],
    "unauthenticated": ["listing", "no account of the configuration in force has the key"],
    "interrupted": ["lost", "a sending may have run and could not be repeated or taken up again"],
    "no-answer-in-time": ["lost", "no whole answer came before the route's timeout or the caller's patience ended"],
};

const findCause = (request: LogLine[]): [CauseKind, string] => {
    const finalLine = request.findLast(({ event }) => ["refused", "failed", "answered", "caller gone"].includes(event));
    if (finalLine === undefined) {
        return ["unknown", "no line tells how it ended; lines may have been dropped for their budget, see below"];
    }
    if (finalLine.event === "answered") {
        return ["answered", "it was answered"];
    }
    if (finalLine.event === "caller gone") {
        return ["caller-gone", "its caller left before an answer was whole"];
    }
    return causesByErrorCode[String(finalLine["code"])]
        ?? ["unknown", `it ended with the code ${String(finalLine["code"])}`];
};

/** The upstreams that the request's lines name. */
const upstreamsNamedIn = (request: LogLine[]): Set<unknown> =>
    new Set(request.flatMap(line => [line["upstream"], line["reached"], line["avoided"], line["upstreams"]].flat()));

const groupsNamedIn = (request: LogLine[]): Set<unknown> =>
    new Set(
        request.flatMap(({ groups }) =>
            Array.isArray(groups) ? groups.map((load: { group?: unknown; }) => load.group) : []
        ),
    );

const upstreamEvents = new Set(["upstream listed", "upstream unlisted", "upstream passed over"]);
const entryEvents = new Set([
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
    /** The last line of each kind about each thing, however long ago. */
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
