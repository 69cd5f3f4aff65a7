/**
 * Metrics of the configuration in force and of the topics that it is read from, in the text form of `metrics.ts`.
 */
import type { TopicState } from "./sharedRecords.js";

/** Gauges that can't be given yet are left out. */
export const configurationGauges = (version: number | undefined, topics: TopicState[]): string => {
    const gauges: [string, number | undefined][] = [
        ["ingress_configuration_version", version],
        ...topics.flatMap(({ topic, position, storeAnswerAge }): [string, number | undefined][] => [
            [`ingress_topic_offset{topic="${topic}"}`, position?.offset],
            [`ingress_store_answer_age_milliseconds{topic="${topic}"}`, storeAnswerAge],
        ]),
    ];
    return gauges.flatMap(([name, value]) => value === undefined ? [] : `${name} ${value}\n`).join("");
};
