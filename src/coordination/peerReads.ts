/**
 * Bounds what a process reads from its peers: servers, the store, engines, other entries, agents, and the clients of its
 * listeners.
 *
 * A peer may send bytes without end, well-formed or not. Each read has a largest size by its kind, and a pace: what a
 * sound peer sends passes at once, and what comes faster draws on one allowance of the whole process. When that is spent,
 * fast reads wait for their share of it or go on at their own pace, whichever is sooner. Bytes that are kept, until a read
 * is complete or until a caller has read them, share one budget too.
 */
import type { Clock } from "../state/types.js";

/**
 * `answer`: a server's whole answer; `stream`: its event stream; `store`: a response of the platform's store or log;
 * `report`: a probe, load report or other small response; `entry`: a response of another entry or agent; `client`: all that
 * arrives on a connection of a listener.
 */
export type PeerReadKind = "answer" | "stream" | "store" | "report" | "entry" | "client";

export type ReadVerdict =
    /** Goes on at once, or after this many milliseconds without reading. */
    | { kind: "go-on"; afterMilliseconds: number; }
    /** The peer is to be disconnected. */
    | { kind: "end"; reason: string; };

/** One read in progress. */
export type PeerRead = {
    /** Counts what has arrived; `pieces` are events, lines or chunks, each of which costs processor time. */
    take: (bytes: number, pieces: number) => ReadVerdict;
    /** Like `take`, for bytes that are kept until the read is complete. */
    keep: (bytes: number, pieces: number) => ReadVerdict;
    /** Counts an interim response. */
    takeInterim: () => ReadVerdict;
    /** Ends the read and releases what it keeps. */
    close: () => void;
};

/** Bytes that wait for the rest of an event, or for a caller to read them. */
export type PeerBuffer = {
    /** States how many bytes wait now. */
    resize: (bytes: number) => ReadVerdict;
    /** Releases them. */
    close: () => void;
};

export type PeerReads = {
    open: (kind: PeerReadKind) => PeerRead;
    openBuffer: () => PeerBuffer;
};

type ReadLimits = {
    maximumBytes: number;
    /** What a read may cost a second without drawing on the shared allowance, and at once. */
    ownCostPerSecond: number;
    ownBurst: number;
    /** For how long it may be left unread in all for its pace. */
    maximumWaitMilliseconds: number;
};

/**
 * Own allowances are about twice what sound peers of the deployments in use need: streams send 30 events a second in five
 * lines each, other answers have some kilobytes, and the store's and other entries' responses some hundred. The bytes of a
 * stream aren't kept, so its time limit bounds it. A whole answer that is too large for its pace is ended while another
 * server may still answer in time; the largest takes 0.45 s while no other read is fast. Of servers, 60 may send as much
 * as their burst at the same moment.
 */
const limitsOf: Record<PeerReadKind, ReadLimits> = {
    "answer": { maximumBytes: 16_777_216, ownCostPerSecond: 147_456, ownBurst: 32_768, maximumWaitMilliseconds: 500 },
    "stream": {
        maximumBytes: Infinity,
        ownCostPerSecond: 147_456,
        ownBurst: 32_768,
        maximumWaitMilliseconds: Infinity,
    },
    "store": {
        maximumBytes: 16_777_216,
        ownCostPerSecond: 4_194_304,
        ownBurst: 4_194_304,
        maximumWaitMilliseconds: Infinity,
    },
    "entry": {
        maximumBytes: 16_777_216,
        ownCostPerSecond: 1_048_576,
        ownBurst: 2_097_152,
        maximumWaitMilliseconds: Infinity,
    },
    "report": {
        maximumBytes: 1_048_576,
        ownCostPerSecond: 98_304,
        ownBurst: 262_144,
        maximumWaitMilliseconds: Infinity,
    },
    "client": {
        maximumBytes: Infinity,
        ownCostPerSecond: 147_456,
        ownBurst: 65_536,
        maximumWaitMilliseconds: Infinity,
    },
};
/** A server may send some, such as early hints; more serve no purpose. */
const maximumInterims = 32;
export type KeptLimits = {
    /**
     * What all reads keep at once beside their own bytes, of which each has its share. Reads that keep less than their share go
     * on, so the sum may come to twice as much.
     */
    maximumKeptBytes: number;
    /** Kept by any read or buffer without drawing on that budget, so that a few large ones don't end small ones. */
    ownKeptBytes: number;
};

/** For a process of 202 MB or more. */
const defaultKeptLimits: KeptLimits = { maximumKeptBytes: 16_777_216, ownKeptBytes: 32_768 };
/** Processor time of a piece beside its bytes: a line of an event or of chunk framing takes 2.3 to 3.2 microseconds. */
const pieceCost = 384;
/**
 * Some 98,000 lines a second, about a quarter of a core, so that other requests go on in time. At half of it, servers that
 * cut off an answer which they can't send for 0.5 s did so to fast sound streams.
 */
const sharedCostPerSecond = 37_748_736;
/** 2,700 lines, some 7 ms. */
const sharedBurst = 1_048_576;
const minimumWaitMilliseconds = 5;
const millisecondsPerSecond = 1_000;

/** A token bucket; its level may fall below 0 by `owe`. */
const createBucket = (clock: Pick<Clock, "now">, perSecond: number, burst: number) => {
    let level = burst;
    let filledAt = clock.now();
    const waitFor = (cost: number): number => (cost - level) * millisecondsPerSecond / perSecond;
    return {
        /** Takes what is there, up to `cost`; returns the rest. */
        take: (cost: number): number => {
            const now = clock.now();
            level = Math.min(burst, level + (now - filledAt) * perSecond / millisecondsPerSecond);
            filledAt = now;
            const taken = Math.max(0, Math.min(level, cost));
            level -= taken;
            return cost - taken;
        },
        /** Milliseconds until `cost` is there. */
        waitFor,
        /** Takes `cost` though it isn't there; returns the milliseconds until it is. */
        owe: (cost: number): number => {
            const milliseconds = waitFor(cost);
            level -= cost;
            return milliseconds;
        },
    };
};

const goOn: ReadVerdict = { kind: "go-on", afterMilliseconds: 0 };

/** Creates the reads of one process, which share its allowance and its budget. */
export const createPeerReads = (
    clock: Pick<Clock, "now">,
    { maximumKeptBytes, ownKeptBytes }: KeptLimits = defaultKeptLimits,
): PeerReads => {
    const shared = createBucket(clock, sharedCostPerSecond, sharedBurst);
    let keptBytes = 0;
    /** Reads and buffers that draw on the budget. */
    let keepers = 0;

    const openBuffer = (): PeerBuffer => {
        let drawnBytes = 0;
        const draw = (bytes: number): void => {
            keptBytes += bytes - drawnBytes;
            keepers += Number(bytes > 0) - Number(drawnBytes > 0);
            drawnBytes = bytes;
        };
        return {
            resize: bytes => {
                draw(Math.max(0, bytes - ownKeptBytes));
                return keptBytes > maximumKeptBytes && drawnBytes * keepers >= maximumKeptBytes
                    ? { kind: "end", reason: `all reads keep more than ${maximumKeptBytes} bytes` }
                    : goOn;
            },
            close: () => draw(0),
        };
    };

    const open = (kind: PeerReadKind): PeerRead => {
        const { maximumBytes, ownCostPerSecond, ownBurst, maximumWaitMilliseconds } = limitsOf[kind];
        const own = createBucket(clock, ownCostPerSecond, ownBurst);
        const buffer = openBuffer();
        let bytesRead = 0;
        let bytesKept = 0;
        let interims = 0;
        let waitMilliseconds = 0;
        const take = (bytes: number, pieces: number): ReadVerdict => {
            bytesRead += bytes;
            if (bytesRead > maximumBytes) {
                return { kind: "end", reason: `more than ${maximumBytes} bytes` };
            }
            const rest = shared.take(own.take(bytes + pieces * pieceCost));
            if (rest === 0) {
                return goOn;
            }
            const sooner = own.waitFor(rest) < shared.waitFor(rest) ? own : shared;
            const afterMilliseconds = Math.max(minimumWaitMilliseconds, sooner.owe(rest));
            waitMilliseconds += afterMilliseconds;
            return waitMilliseconds > maximumWaitMilliseconds
                ? { kind: "end", reason: `${bytesRead} bytes at once, too many to read in time` }
                : { kind: "go-on", afterMilliseconds };
        };
        return {
            take,
            keep: (bytes, pieces) => {
                bytesKept += bytes;
                const kept = buffer.resize(bytesKept);
                return kept.kind === "end" ? kept : take(bytes, pieces);
            },
            takeInterim: () => {
                interims += 1;
                return interims > maximumInterims
                    ? { kind: "end", reason: `more than ${maximumInterims} interim responses` }
                    : goOn;
            },
            close: () => {
                bytesKept = 0;
                buffer.close();
            },
        };
    };

    return { open, openBuffer };
};
