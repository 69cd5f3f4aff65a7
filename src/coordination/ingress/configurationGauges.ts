/**
 * Metrics of the configuration in force and of the topics that it is read from, in the text form of `metrics.ts`.
 */
import type { FeedPosition, FeedTopic } from "./recordSource.js";

export type TopicState = {
    topic: FeedTopic;
    /** The position after the last record that was read; undefined until the topic was read once. */
    position: FeedPosition | undefined;
    /** Host of the entry that gave the latest records, or `store`. */
    from: string | undefined;
    /** Milliseconds since the store answered a read of this topic to this entry; undefined if it never did. */
    storeAnswerAge: number | undefined;
    /**
     * Milliseconds since a time before which this entry has missed no record, by its own reads or those of other entries;
     * undefined if that is not known, or the topic is not judged.
     */
    confirmedAge: number | undefined;
    /** Whether the store answered the latest call of this entry for the topic; true before the first. */
    isServed: boolean;
};

/** Gauges that can't be given yet are left out. */
export const configurationGauges = (version: number | undefined, topics: TopicState[]): string => {
    const gauges: [string, number | undefined][] = [
        ["ingress_configuration_version", version],
        ...topics.flatMap(({ topic, position, storeAnswerAge, confirmedAge }): [string, number | undefined][] => [
            [`ingress_topic_offset{topic="${topic}"}`, position?.offset],
            [`ingress_store_answer_age_milliseconds{topic="${topic}"}`, storeAnswerAge],
            [`ingress_topic_confirmed_age_milliseconds{topic="${topic}"}`, confirmedAge],
        ]),
    ];
    return gauges.flatMap(([name, value]) => value === undefined ? [] : `${name} ${value}\n`).join("");
};
