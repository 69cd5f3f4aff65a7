/**
 * The gossip datagram between entries: deflated JSON with the sender's status and the statuses that it relays for
 * others.
 */
import type { Result } from "neverthrow";
import { deflateRawSync } from "node:zlib";
import { z } from "zod";
import type { DeploymentTopic } from "../coordination/ingress/deploymentFeed.js";
import type { EntryStatus } from "../coordination/ingress/peerStatusTable.js";
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
        contactAge: z.number(),
        offsets: z.object({ operator: z.number(), upstreams: z.number() }),
        eras: z.object({ operator: z.number(), upstreams: z.number() }).optional(),
    }).optional(),
    isServed: z.boolean().default(true),
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

const toWire = ({ store, demand, work, ...status }: EntryStatus): WireStatus => ({
    ...status,
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
            contactAge: store.contactAge,
            offsets: mapTopics(store.positions, ({ offset }) => offset),
            eras: mapTopics(store.positions, ({ era }) => era),
        },
    },
});

const mapTopics = <From, To>(
    { operator, upstreams }: Record<DeploymentTopic, From>,
    map: (value: From) => To,
): Record<DeploymentTopic, To> => ({ operator: map(operator), upstreams: map(upstreams) });

const fromWire = ({ store, demand, work, ...status }: WireStatus): EntryStatus => ({
    ...status as Omit<EntryStatus, "store" | "demand" | "work">,
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
        contactAge: store.contactAge,
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
