/**
 * Datagrams between the agents of one group: the coordinating agent sends beacons, and the others send it the counts of
 * their ranks.
 *
 * Counts are sent as growth since the previous message (see `countDeltas.ts`), so a lost datagram only costs
 * resolution.
 */
import { z } from "zod";
import type { RankUpdate } from "../../coordination/experts/groupCoordinator.js";
import type { IngressLog } from "../../coordination/ingress/ingressLog.js";
import {
    type CountDeltaDecoder,
    type CountDeltaEncoder,
    createCountDeltaDecoder,
    createCountDeltaEncoder,
} from "../../protocol/countDeltas.js";
import { decodeJsonAs, describeDecodingError } from "../../protocol/decoding.js";
import { openDatagramSocket } from "../datagramSocket.js";

const optionalNumber = z.number().optional();

const beaconMessageSchema = z.object({ kind: z.literal("beacon"), group: z.string(), rank: z.number() });
const updateMessageSchema = z.object({
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
const messageSchema = z.union([beaconMessageSchema, updateMessageSchema]);

export type RankGossip = {
    sendBeacon: (addresses: string[], group: string, rank: number) => void;
    sendUpdate: (address: string, update: RankUpdate) => void;
};

export type RankGossipOptions = {
    ip: string;
    port: number;
    onBeacon: (group: string, rank: number, address: string) => void;
    onUpdate: (update: RankUpdate) => void;
    log: IngressLog;
    signal: AbortSignal;
};

export const startRankGossip = (
    { ip, port, onBeacon, onUpdate, log, signal }: RankGossipOptions,
): RankGossip => {
    const encodersByAgent = new Map<string, CountDeltaEncoder>();
    const decodersByEngine = new Map<string, CountDeltaDecoder>();

    const receiveUpdateMessage = (
        { engine, counts, report }: z.infer<typeof updateMessageSchema>,
        from: string,
    ): void => {
        const decoder = decodersByEngine.get(engine) ?? createCountDeltaDecoder();
        decodersByEngine.set(engine, decoder);
        decoder.decode(report.epoch, counts).match(
            cumulativeCounts =>
                onUpdate({
                    report: report as RankUpdate["report"],
                    engine,
                    step: counts.step,
                    counts: cumulativeCounts,
                }),
            reason => log.stateChange("counts ignored", { from, engine, reason }),
        );
    };
    const receiveDatagram = (payload: Buffer, from: string): void =>
        decodeJsonAs(messageSchema, payload.toString("utf8")).match(
            message => {
                if (message.kind === "beacon") {
                    onBeacon(message.group, message.rank, from);
                }
                else {
                    receiveUpdateMessage(message as z.infer<typeof updateMessageSchema>, from);
                }
            },
            error => log.stateChange("datagram ignored", { from, reason: describeDecodingError(error) }),
        );

    const send = openDatagramSocket({ ip, port, onMessage: receiveDatagram, log, signal });
    return {
        sendBeacon: (addresses, group, rank) => send(addresses, JSON.stringify({ kind: "beacon", group, rank })),
        sendUpdate: (address, { report, engine, step, counts }) => {
            const encoder = encodersByAgent.get(address) ?? createCountDeltaEncoder();
            encodersByAgent.set(address, encoder);
            const updateMessage = { kind: "news", engine, report, counts: encoder.encode(report.epoch, step, counts) };
            send([address], JSON.stringify(updateMessage));
        },
    };
};
