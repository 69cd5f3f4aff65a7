/**
 * The gossip datagram between entries: deflated JSON with the sender's status and the statuses that it relays for
 * others.
 */
import type { Result } from "neverthrow";
import { deflateRawSync } from "node:zlib";
import { z } from "zod";
import type { EntryStatus } from "../coordination/ingress/peerStatusTable.js";
import { type DeploymentTopic, type FeedTopic, feedTopics } from "../coordination/ingress/recordSource.js";
import { inflateBounded } from "./boundedInflate.js";
import { crashEvidenceSchema } from "./crashEvidenceMessages.js";
import { decodeJsonAs, describeDecodingError } from "./decoding.js";

const protocolVersion = 2;

export const limitStatementSchema = z.object({
    bornAt: z.number(),
    requestsPerSecond: z.number().nonnegative().optional(),
    ageMilliseconds: z.number(),
});

// Tuples keep the message small: one entry names hundreds of upstreams.
const demandSchema = z.tuple([z.number(), z.number(), z.number(), z.number()]);
const workSchema = z.tuple([z.number(), z.number(), z.number()]);

const entryStatusSchema = z.object({
    host: z.string(),
    availabilityZone: z.string(),
    incarnation: z.string(),
    sequence: z.number(),
    running: z.record(z.string(), z.number()),
    limits: z.record(z.string(), z.number()),
    demand: z.record(z.string(), z.array(demandSchema)).optional(),
    work: z.record(z.string(), workSchema).default({}),
    // Entries of earlier builds state offsets only, and neither whether they are served nor what they have read.
    store: z.object({
        // Read by entries of earlier builds, which state no ages of single topics.
        contactAge: z.number(),
        offsets: z.object({ operator: z.number(), upstreams: z.number() }),
        eras: z.object({ operator: z.number(), upstreams: z.number() }).optional(),
        confirmedAges: z.object({ operator: z.number().optional(), upstreams: z.number().optional() }).default({}),
    }).optional(),
    // Entries of earlier builds state `isServed` for the store as a whole.
    isServed: z.boolean().default(true),
    unserved: z.array(z.enum(feedTopics as [FeedTopic, ...FeedTopic[]])).optional(),
    hasRead: z.boolean().default(false),
    leaving: z.record(z.string(), z.number()).default({}),
    statedLimits: z.record(z.string(), limitStatementSchema).default({}),
    crashEvidence: crashEvidenceSchema.optional(),
});
const gossipMessageSchema = z.object({
    version: z.literal(protocolVersion),
    from: z.string(),
    news: z.array(entryStatusSchema),
});

export type EntryGossipMessage = { from: string; news: EntryStatus[]; };

type WireStatus = z.infer<typeof entryStatusSchema>;

const mapValues = <From, To>(record: Record<string, From>, map: (value: From) => To): Record<string, To> =>
    Object.fromEntries(Object.entries(record).map(([key, value]) => [key, map(value)]));

/** Rates and amounts of work are sent as whole numbers or with one decimal, which is enough to decide by. */
const withOneDecimal = (value: number): number => Math.round(value * 10) / 10;

/** What entries of earlier builds take for an entry that was never answered. */
const unknownContactAge = 1_000_000_000;

const contactAgeOf = (ages: Partial<Record<DeploymentTopic, number>>): number =>
    Math.max(ages.operator ?? unknownContactAge, ages.upstreams ?? unknownContactAge);

const toWire = ({ store, demand, work, ...status }: EntryStatus): WireStatus => ({
    ...status,
    isServed: status.unserved.length === 0,
    demand: demand && mapValues(
        demand,
        priorities =>
            priorities.map(({ priority, arrivalsPerSecond, startsPerSecond, waiting }) => [
                priority,
                withOneDecimal(arrivalsPerSecond),
                withOneDecimal(startsPerSecond),
                waiting,
            ]),
    ),
    work: mapValues(work, ({ promptTokens, remaining, heldTokens }) => [
        Math.round(promptTokens),
        Math.round(remaining),
        Math.round(heldTokens),
    ]),
    ...store === undefined ? {} : {
        store: {
            contactAge: contactAgeOf(store.confirmedAges),
            confirmedAges: store.confirmedAges,
            offsets: mapTopics(store.positions, ({ offset }) => offset),
            eras: mapTopics(store.positions, ({ era }) => era),
        },
    },
});

const mapTopics = <From, To>(
    { operator, upstreams }: Record<DeploymentTopic, From>,
    map: (value: From) => To,
): Record<DeploymentTopic, To> => ({ operator: map(operator), upstreams: map(upstreams) });

const fromWire = ({ store, demand, work, isServed, unserved, ...status }: WireStatus): EntryStatus => ({
    ...status as Omit<EntryStatus, "store" | "demand" | "work" | "unserved">,
    unserved: unserved ?? (isServed ? [] : [...feedTopics]),
    demand: demand && mapValues(
        demand,
        priorities =>
            priorities.map(([priority, arrivalsPerSecond, startsPerSecond, waiting]) => ({
                priority,
                arrivalsPerSecond,
                startsPerSecond,
                waiting,
            })),
    ),
    work: mapValues(work, ([promptTokens, remaining, heldTokens]) => ({ promptTokens, remaining, heldTokens })),
    store: store === undefined ? undefined : {
        confirmedAges: store.confirmedAges,
        positions: {
            operator: { era: store.eras?.operator ?? 0, offset: store.offsets.operator },
            upstreams: { era: store.eras?.upstreams ?? 0, offset: store.offsets.upstreams },
        },
    },
});

export const encodeEntryGossip = ({ from, news }: EntryGossipMessage): Buffer =>
    deflateRawSync(JSON.stringify({ version: protocolVersion, from, news: news.map(toWire) }));

export const decodeEntryGossip = (message: Buffer): Result<EntryGossipMessage, string> =>
    inflateBounded(message)
        .andThen(text => decodeJsonAs(gossipMessageSchema, text.toString("utf8")).mapErr(describeDecodingError))
        .map(({ from, news }) => ({ from, news: news.map(fromWire) }));
