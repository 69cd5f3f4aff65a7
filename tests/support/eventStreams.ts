/**
 * Event streams in the ways in which servers may write them, and what a caller reads from them.
 */
import type { RandomNumber } from "../../src/state/types.js";
import { choose } from "./answerForms.js";

const lineEnds = ["\n", "\r\n", "\r"];
const endings = ["empty line", "comment", "comment without an empty line", "no empty line"] as const;

const dataOf = (requestId: string, event: number): string => `event ${event} of ${requestId}`;

/**
 * The events after `after` up to `total`, one a piece. The same `random` gives the same style, so that a stream can be
 * resumed in it; a stream that is resumed after its last event is empty.
 */
export const renderEvents = (requestId: string, total: number, after: number, random: RandomNumber): string[] => {
    const lineEnd = choose(lineEnds, random);
    const ending = choose(endings, random);
    const commentEvery = choose([Infinity, Infinity, 1, 7], random);
    const isCommentApart = random() < 0.5;
    const render = (event: number): string => {
        const comment = event % commentEvery === 0 ? `: wait${lineEnd}${isCommentApart ? lineEnd : ""}` : "";
        const end = event === total && ending === "no empty line" ? "" : lineEnd;
        return `${comment}id: ${event}${lineEnd}data: ${dataOf(requestId, event)}${lineEnd}${end}`;
    };
    const events = [...Array(total - after).keys()].map(index => render(after + 1 + index));
    if (events.length === 0 || !ending.startsWith("comment")) {
        return events;
    }
    return [...events, `: done${lineEnd}${ending === "comment" ? lineEnd : ""}`];
};

type ReadEvent = { id: string; data: string; };

const readEvents = (text: string): ReadEvent[] => {
    const events: ReadEvent[] = [];
    let event: Partial<ReadEvent> = {};
    for (const line of [...text.split(/\r\n|\n|\r/), ""]) {
        const [, name = "", value = ""] = /^([^:]*): ?(.*)$/.exec(line) ?? [];
        if (line === "" && Object.keys(event).length > 0) {
            events.push({ id: "", data: "", ...event });
            event = {};
        }
        else if (name !== "") {
            event = { ...event, [name]: value };
        }
    }
    return events;
};

/** What is wrong with the events that a caller received of a stream that looks complete; undefined if nothing is. */
export const findEventFault = (
    text: string,
    requestId: string,
    total: number,
    after: number,
): string | undefined => {
    const received = readEvents(text);
    const expected = [...Array(total - after).keys()].map(index => after + 1 + index);
    const at = expected.findIndex((event, index) =>
        received[index]?.id !== String(event) || received[index].data !== dataOf(requestId, event)
    );
    if (at < 0 && received.length === expected.length) {
        return undefined;
    }
    const shown = JSON.stringify(received[at < 0 ? expected.length : at] ?? "the end");
    return `${received.length} of ${expected.length} events, ${shown} at ${after + 1 + Math.max(at, 0)}`;
};
