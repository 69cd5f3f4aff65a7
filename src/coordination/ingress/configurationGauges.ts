/**
 * Metrics of the configuration in force and of the topics that it is read from, in the text form of `metrics.ts`.
 */
import type { Clock } from "../../state/types.js";
import type { RecordCache } from "./recordCache.js";
import { type FeedPosition, type FeedTopic, feedTopics, isDeploymentTopic } from "./recordSource.js";
import type { StoreAccess } from "./storeAccess.js";
import type { TopicFreshness } from "./topicFreshness.js";

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
    /** Keys of records that hold though the store came back from a copy without them. */
    forgottenKeys: string[];
};

export type TopicSources = {
    cache: RecordCache;
    storeAccess: StoreAccess;
    freshness: TopicFreshness;
    /** By topic, who gave the latest records. */
    origins: ReadonlyMap<FeedTopic, string>;
    clock: Pick<Clock, "now">;
};

/** How far each topic was read, and from where. */
export const describeTopics = ({ cache, storeAccess, freshness, origins, clock }: TopicSources): TopicState[] => {
    const ageOf = (at: number | undefined): number | undefined =>
        at === undefined ? undefined : Math.round(clock.now() - at);
    return feedTopics.map(topic => ({
        topic,
        position: cache.positionOf(topic),
        from: origins.get(topic),
        storeAnswerAge: ageOf(storeAccess.answeredAt(topic)),
        confirmedAge: ageOf(isDeploymentTopic(topic) ? freshness.confirmedAt(topic) : undefined),
        isServed: storeAccess.isServed(topic),
        forgottenKeys: cache.forgotten(topic).map(({ key }) => key),
    }));
};

/** Gauges that can't be given yet are left out. */
export const configurationGauges = (version: number | undefined, topics: TopicState[]): string => {
    const gauges: [string, number | undefined][] = [
        ["ingress_configuration_version", version],
        ...topics.flatMap((
            { topic, position, storeAnswerAge, confirmedAge, forgottenKeys },
        ): [string, number | undefined][] => [
            [`ingress_topic_offset{topic="${topic}"}`, position?.offset],
            [`ingress_topic_era{topic="${topic}"}`, position?.era],
            [`ingress_topic_forgotten_records{topic="${topic}"}`, forgottenKeys.length],
            [`ingress_store_answer_age_milliseconds{topic="${topic}"}`, storeAnswerAge],
            [`ingress_topic_confirmed_age_milliseconds{topic="${topic}"}`, confirmedAge],
        ]),
    ];
    return gauges.flatMap(([name, value]) => value === undefined ? [] : `${name} ${value}\n`).join("");
};
