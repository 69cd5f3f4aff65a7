/**
 * Datagrams between the agents of one group: each tells who it is, and the coordinator the counts of its rank.
 *
 * Counts are told as growth since the message before (see `countDeltas.ts`), so a lost datagram costs only resolution.
 */
import { z } from "zod";
import type { RankNews } from "../../coordination/experts/groupCoordinator.js";
import type { IngressLog } from "../../coordination/ingress/ingressLog.js";
import {
    type CountsReader,
    type CountsWriter,
    createCountsReader,
    createCountsWriter,
} from "../../protocol/countDeltas.js";
import { decodeJsonAs, describeDecodingError } from "../../protocol/decoding.js";
import { openDatagrams } from "../datagrams.js";

const optionalNumber = z.number().optional();

const beaconSchema = z.object({ kind: z.literal("beacon"), group: z.string(), rank: z.number() });
const newsSchema = z.object({
    kind: z.literal("news"),
    engine: z.string(),
    counts: z.object({ fromStep: z.number(), step: z.number(), growth: z.string() }),
    report: z.object({
        group: z.string(),
        rank: z.number(),
        ranks: z.number(),
        epoch: z.number(),
        isOpen: z.boolean(),
        step: z.number(),
        mapInForce: z.number(),
        prepared: optionalNumber,
        armed: z.object({ version: z.number(), step: optionalNumber }).optional(),
        held: optionalNumber,
    }),
});
const messageSchema = z.union([beaconSchema, newsSchema]);

export type RankGossip = {
    sendBeacon: (addresses: string[], group: string, rank: number) => void;
    sendNews: (address: string, news: RankNews) => void;
};

export type RankGossipOptions = {
    ip: string;
    port: number;
    onBeacon: (group: string, rank: number, address: string) => void;
    onNews: (news: RankNews) => void;
    log: IngressLog;
    signal: AbortSignal;
};

export const startRankGossip = ({ ip, port, onBeacon, onNews, log, signal }: RankGossipOptions): RankGossip => {
    /** By agent that is told. */
    const writers = new Map<string, CountsWriter>();
    /** By engine that was told of. */
    const readers = new Map<string, CountsReader>();

    const takeNews = ({ engine, counts, report }: z.infer<typeof newsSchema>, from: string): void => {
        const reader = readers.get(engine) ?? createCountsReader();
        readers.set(engine, reader);
        reader.read(report.epoch, counts).match(
            sums => onNews({ report: report as RankNews["report"], engine, step: counts.step, counts: sums }),
            reason => log.belief("counts ignored", { from, engine, reason }),
        );
    };
    const take = (message: Buffer, from: string): void =>
        decodeJsonAs(messageSchema, message.toString("utf8")).match(
            told => {
                if (told.kind === "beacon") {
                    onBeacon(told.group, told.rank, from);
                }
                else {
                    takeNews(told as z.infer<typeof newsSchema>, from);
                }
            },
            error => log.belief("datagram ignored", { from, reason: describeDecodingError(error) }),
        );

    const send = openDatagrams({ ip, port, onMessage: take, log, signal });
    return {
        sendBeacon: (addresses, group, rank) => send(addresses, JSON.stringify({ kind: "beacon", group, rank })),
        sendNews: (address, { report, engine, step, counts }) => {
            const writer = writers.get(address) ?? createCountsWriter();
            writers.set(address, writer);
            const news = { kind: "news", engine, report, counts: writer.write(report.epoch, step, counts) };
            send([address], JSON.stringify(news));
        },
    };
};
