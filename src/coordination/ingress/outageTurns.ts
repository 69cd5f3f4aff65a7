/**
 * Turns of the entries with calls to a store that answers none of them, for all topics or for one.
 */
import type { Clock } from "../../state/types.js";
import { type FeedTopic, feedTopics } from "./recordSource.js";

export type OutageTurnsOptions = {
    /** Whether no entry has been answered for the topic for a while. */
    isSilent: (topic: FeedTopic) => boolean;
    /** Zero-based position of this entry among the live ones. */
    turnOf: (topic: FeedTopic) => number;
    clock: Pick<Clock, "now">;
};

/**
 * Interval of the calls of the entry with the first turn. It grows with the square of the turn, so that all entries
 * together make about four calls a second: for all topics, or for each that alone is silent.
 */
const firstIntervalMilliseconds = 400;

/** Creates a function that says whether this entry may call the store for a topic now, and takes the turn. */
export const createOutageTurns = (options: OutageTurnsOptions): (topic: FeedTopic) => boolean => {
    const { isSilent, turnOf, clock } = options;
    const nextTurnAt = new Map<FeedTopic | "all", number>();

    return topic => {
        const silence = feedTopics.every(isSilent) ? "all" : topic;
        const interval = firstIntervalMilliseconds * (1 + turnOf(topic)) ** 2;
        // When other topics are answered again, the first entry asks for this one at once and the others in their turn.
        const dueAt = nextTurnAt.get(silence)
            ?? (silence === "all" ? -Infinity : clock.now() + interval - firstIntervalMilliseconds);
        const isDue = clock.now() >= dueAt;
        nextTurnAt.set(silence, isDue ? clock.now() + interval : dueAt);
        return isDue;
    };
};
