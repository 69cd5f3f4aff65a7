/**
 * What this process reads from the clients of its listeners, all of which share one allowance and one budget, and a count of the
 * connections that it ended.
 */
import type { ConnectionEndCause } from "../coordination/clientConnections.js";
import { createPeerReads, type PeerReads } from "../coordination/peerReads.js";
import { peerReadMetricsText } from "./processReads.js";
import { monotonicClock } from "./systemClock.js";

/** Requests of the deployments in use have up to 4 kB. */
const ownKeptBytes = 16_384;
/** Of a process that states no memory. */
const assumedMemoryMegabytes = 202;
/** What a process uses besides, and the part of the rest that clients may fill, as it may come to twice as much. */
const reservedMegabytes = 120;
const keptShare = 0.125;
const bytesPerMegabyte = 1_000_000;
const minimumKeptMegabytes = 8;

/** Creates the rule for the clients of a process that is ended at `memoryMegabytes`. */
const createClientReads = (memoryMegabytes = assumedMemoryMegabytes): PeerReads => {
    const keptMegabytes = Math.max(minimumKeptMegabytes, (memoryMegabytes - reservedMegabytes) * keptShare);
    return createPeerReads(monotonicClock, { maximumKeptBytes: keptMegabytes * bytesPerMegabyte, ownKeptBytes });
};

/** Why a body isn't kept: it exceeds its limit, or the process has no room for it. */
export type BodyRefusal = "too-large" | "no-room";

const counts = new Map<string, number>();

const count = (name: string): void => {
    counts.set(name, (counts.get(name) ?? 0) + 1);
};

export const countEndedClient = (cause: ConnectionEndCause): void =>
    count(`client_connections_ended_total{cause="${cause}"}`);

export const countRefusedBody = (reason: BodyRefusal): void => count(`client_bodies_refused_total{reason="${reason}"}`);

/** What was ended and refused since the start for the bounds of reads, for the metrics endpoint. */
export const processMetricsText = (): string =>
    peerReadMetricsText() + [...counts].map(([name, value]) => `${name} ${value}\n`).join("");

/** Bounds on the clients of a listener. */
export type ClientBounds = {
    maximumConnections: number;
    /** Rule of the process for what it reads of clients. */
    reads: PeerReads;
};

/** Descriptors of a process that states none. */
const assumedDescriptors = 4_100;
/** For files and what isn't a connection. */
const reservedDescriptors = 200;
/** Each request of a caller takes a connection to an upstream too; the rest is for the process's own calls. */
const callersShare = 0.3;
const peersShare = 0.1;
const controlShare = 0.01;
const minimumConnections = 8;

/** Divides memory and descriptors of a process among its listeners: callers; other entries; checks and operators. */
export const clientBounds = (
    { memoryMegabytes, maximumDescriptors = assumedDescriptors }: {
        memoryMegabytes?: number | undefined;
        maximumDescriptors?: number | undefined;
    },
): Record<"callers" | "peers" | "control", ClientBounds> => {
    const reads = createClientReads(memoryMegabytes);
    const boundsOf = (share: number): ClientBounds => {
        const connections = Math.floor((maximumDescriptors - reservedDescriptors) * share);
        return { maximumConnections: Math.max(minimumConnections, connections), reads };
    };
    return { callers: boundsOf(callersShare), peers: boundsOf(peersShare), control: boundsOf(controlShare) };
};

/** Of the listeners for callers of a process that states neither memory nor descriptors. */
export const assumedCallerBounds = clientBounds({}).callers;

/** Of other listeners that are given none; an agent has two of them, and 1,494 descriptors or more. */
export const defaultClientBounds: ClientBounds = { ...assumedCallerBounds, maximumConnections: 512 };
