/**
 * Judges how fresh this entry's copy of each topic is, and when the store is to be probed for it.
 *
 * All evidence has one form: everything that was written to a topic before some time lies before some position. The
 * store's answer to a read gives it for the topic that was read and the time at which the read was sent, as the answer may
 * have been under way for any time since. Entries pass their evidence on, so that one probe spares the others theirs. It
 * counts for an entry only once that entry has read up to the position, and never for another topic: a partition of the
 * store, or the connection on which a poll waits, may be silent while others answer.
 *
 * When the evidence for a topic has become old, the entries probe the store for it one after the other, those that read for
 * their zones first.
 */
import type { Clock } from "../../state/types.js";
import {
    comparePositions,
    type DeploymentTopic,
    deploymentTopics,
    type FeedPosition,
    type FeedTopic,
    isDeploymentTopic,
} from "./recordSource.js";

/** What an entry reports about its copies of the topics. */
export type TopicReadStatus = {
    /** The position after the last record that it has read. */
    positions: Record<DeploymentTopic, FeedPosition>;
    /** Milliseconds since a time before which it has missed nothing; left out for a topic without evidence. */
    confirmedAges: Partial<Record<DeploymentTopic, number>>;
};

export type TopicFreshness = {
    /**
     * Records that the store answered a read of the topic that was sent at `askedAt`. `end`: the position after all records
     * that it had then; undefined if the answer doesn't say.
     */
    recordAnswer: (topic: FeedTopic, askedAt: number, end: FeedPosition | undefined) => void;
    /** Records that this entry has all records of the topic before `next`. */
    recordRead: (topic: DeploymentTopic, next: FeedPosition) => void;
    recordPeerStatus: (status: TopicReadStatus) => void;
    /** This entry has all records of the topic that were written before this time; undefined if that is not known. */
    confirmedAt: (topic: DeploymentTopic) => number | undefined;
    /**
     * When the store last answered a read of the topic, to this entry or to another; for a topic that entries don't report
     * on, a read of any topic. -Infinity if it never did.
     */
    lastAnswerAt: (topic: FeedTopic) => number;
    /** Time until this entry should probe the store for the topic; zero or negative if it is due. */
    millisecondsUntilProbe: (topic: DeploymentTopic) => number;
    /** Whether another entry has read records of the topic that this one has not. */
    isBehind: (topic: DeploymentTopic) => boolean;
    /** Whether another entry has read records of a later era of the store. */
    isInOlderEra: (topic: DeploymentTopic) => boolean;
    /** The status to report to other entries; undefined until both topics have been read once. */
    readStatus: () => TopicReadStatus | undefined;
};

/** With a second probe by another entry, a change is noticed within 2 s, the shortest time that deployments allow for it. */
const probeAfterMilliseconds = 850;
/** Time after the first read within which the evidence of the entry that it was read from arrives. */
const firstEvidenceMilliseconds = 300;
/** The result of a probe reaches the other entries within a few milliseconds, or 0.1 s if a datagram is lost. */
const probeStaggerMilliseconds = 60;
/** Entries with later turns probe together with this one, by when several probes in a row have found no answer. */
const maximumProbeOrder = 20;

/** Everything that was written to a topic before `at` lies before `end`. */
type Evidence = { end: FeedPosition; at: number; };

type Judgement = {
    recordEvidence: (evidence: Evidence) => void;
    recordRead: (next: FeedPosition) => void;
    position: () => FeedPosition | undefined;
    /** The furthest position that is known to exist. */
    furthest: () => FeedPosition | undefined;
    confirmedAt: () => number | undefined;
    lastEvidenceAt: () => number;
};

/** Judges one topic by what is learned of it. */
const judgeTopic = (): Judgement => {
    let position: FeedPosition | undefined;
    let confirmedAt: number | undefined;
    let lastEvidenceAt = -Infinity;
    /** The evidence of the furthest position, which this entry may not have reached yet. */
    let furthest: Evidence | undefined;

    const confirm = ({ end, at }: Evidence): void => {
        if (position !== undefined && comparePositions(position, end) >= 0) {
            confirmedAt = Math.max(confirmedAt ?? -Infinity, at);
        }
    };

    return {
        recordEvidence: evidence => {
            lastEvidenceAt = Math.max(lastEvidenceAt, evidence.at);
            const order = furthest === undefined ? 1 : comparePositions(evidence.end, furthest.end);
            if (furthest === undefined || order > 0 || order === 0 && evidence.at > furthest.at) {
                furthest = evidence;
            }
            confirm(evidence);
        },
        recordRead: next => {
            position = next;
            if (furthest !== undefined) {
                confirm(furthest);
            }
        },
        position: () => position,
        furthest: () => furthest?.end,
        confirmedAt: () => confirmedAt === -Infinity ? undefined : confirmedAt,
        lastEvidenceAt: () => lastEvidenceAt,
    };
};

/** `probeOrder` gives this entry's zero-based turn among the live entries. */
export const createTopicFreshness = (clock: Pick<Clock, "now">, probeOrder: () => number): TopicFreshness => {
    const judgements: Record<DeploymentTopic, Judgement> = { operator: judgeTopic(), upstreams: judgeTopic() };
    const answeredAt = new Map<FeedTopic, number>();
    const firstReadAt = new Map<DeploymentTopic, number>();

    const answersOf = (topic: FeedTopic): number =>
        Math.max(
            answeredAt.get(topic) ?? -Infinity,
            isDeploymentTopic(topic) ? judgements[topic].lastEvidenceAt() : -Infinity,
        );

    return {
        recordAnswer: (topic, askedAt, end) => {
            answeredAt.set(topic, clock.now());
            if (end !== undefined && isDeploymentTopic(topic)) {
                judgements[topic].recordEvidence({ end, at: askedAt });
            }
        },
        recordRead: (topic, next) => {
            if (!firstReadAt.has(topic)) {
                firstReadAt.set(topic, clock.now());
            }
            judgements[topic].recordRead(next);
        },
        recordPeerStatus: ({ positions, confirmedAges }) => {
            for (const topic of deploymentTopics) {
                const age = confirmedAges[topic];
                const at = age === undefined ? -Infinity : clock.now() - age;
                judgements[topic].recordEvidence({ end: positions[topic], at });
            }
        },
        confirmedAt: topic => judgements[topic].confirmedAt(),
        lastAnswerAt: topic =>
            isDeploymentTopic(topic)
                ? answersOf(topic)
                : Math.max(answersOf(topic), ...deploymentTopics.map(answersOf)),
        millisecondsUntilProbe: topic => {
            const confirmedAt = judgements[topic].confirmedAt();
            const probeAt = confirmedAt === undefined
                ? (firstReadAt.get(topic) ?? clock.now()) + firstEvidenceMilliseconds
                : confirmedAt + probeAfterMilliseconds;
            const firstProbeIn = probeAt - clock.now();
            // The turn is costly to find among many entries, and matters only once the first probe is due.
            return firstProbeIn > 0
                ? firstProbeIn
                : firstProbeIn + Math.min(probeOrder(), maximumProbeOrder) * probeStaggerMilliseconds;
        },
        isBehind: topic => {
            const [position, furthest] = [judgements[topic].position(), judgements[topic].furthest()];
            return position !== undefined && furthest !== undefined && comparePositions(furthest, position) > 0;
        },
        isInOlderEra: topic => {
            const [position, furthest] = [judgements[topic].position(), judgements[topic].furthest()];
            return position !== undefined && furthest !== undefined && furthest.era > position.era;
        },
        readStatus: () => {
            const [operator, upstreams] = [judgements.operator.position(), judgements.upstreams.position()];
            if (operator === undefined || upstreams === undefined) {
                return undefined;
            }
            const ages = deploymentTopics.flatMap(topic => {
                const confirmedAt = judgements[topic].confirmedAt();
                return confirmedAt === undefined ? [] : [[topic, Math.round(clock.now() - confirmedAt)] as const];
            });
            return { positions: { operator, upstreams }, confirmedAges: Object.fromEntries(ages) };
        },
    };
};
