/**
 * Budget for all bytes that the process holds for callers and servers: request bodies, answers and events.
 *
 * It handles callers and servers that read slowly or not at all: without a bound, what is held for them grows until the
 * platform ends the process at its memory limit, and with it all other requests. As the budget fills up, the slowest
 * readers are ended first, then new requests are refused, so that callers that read are served as before.
 */
import type { Clock, RandomNumber } from "../../state/types.js";

/** Bytes that one holder accounts for. */
export type HeldBytes = {
    /** Adds bytes, or subtracts them if negative; ignored after `close`. */
    add: (bytes: number) => void;
    bytes: () => number;
    /** Whether this many more bytes fit into the budget. */
    fits: (bytes: number) => boolean;
    /** Whether bytes did not fit before. */
    wasExceeded: () => boolean;
    /** Whether answers may be read ahead of their callers. */
    hasRoomToReadAhead: () => boolean;
    /** Measures bytes that others hold, at each check; returns a function that ends it. */
    addGauge: (measure: () => number) => () => void;
    close: () => void;
};

/** A caller that reads its answer, or a server that reads a request body. */
export type BufferReader = {
    kind: "caller" | "server";
    /** Bytes that are released if the reader is ended. */
    heldBytes: () => number;
    /** When the reader last accepted bytes, or last had none to accept. */
    lastProgressAt: () => number;
    /** Since when the server of the answer is not read because of this reader; undefined if it is read. */
    heldBackSince: () => number | undefined;
    /** When the answer is due. */
    dueAt: () => number;
    /** Lets the answer be read ahead of its caller, as far as the budget allows. */
    readAhead: () => void;
    /** Closes the connection without a complete answer or request, and closes the accounts of `heldBytes`. */
    end: (cause: EndCause, details: Record<string, unknown>) => void;
};

/** `memory`: the budget was nearly spent; `overdue`: it has stopped reading, and its answer is overdue. */
export type EndCause = "memory" | "overdue";

export type BufferBudget = {
    open: () => HeldBytes;
    /** Adds a reader until the returned function is called. */
    addReader: (reader: BufferReader) => () => void;
    /** Whether a new request with a body of this many bytes may be taken. */
    admits: (bodyBytes: number) => boolean;
    /** Randomized time after which a caller that is refused now should retry. */
    suggestedRetryMilliseconds: () => number;
    /** Ends readers and decides on answers that are held back; called every `checkIntervalMilliseconds`. */
    check: () => void;
    state: () => { heldBytes: number; limitBytes: number; peakBytes: number; readers: number; };
};

export type BufferBudgetOptions = {
    limitBytes: number;
    clock: Pick<Clock, "now">;
    random: RandomNumber;
    /** Called when new requests start and cease to be refused. */
    onRefusingChange: (isRefusing: boolean, details: Record<string, unknown>) => void;
};

export const checkIntervalMilliseconds = 100;
/** Held by a request besides its bytes: two connections with their parsers, and the objects of the request. */
export const requestOverheadBytes = 16_384;

/** What an entry uses while callers read: 87 MB after loading its modules, the rest for its state and its heap. */
const reservedMegabytes = 120;
/**
 * Part of the remaining memory that is budgeted. Released buffers stay in memory until the next garbage collection: with
 * 42 MB held for 300 callers, a process had grown by 100 MB.
 */
const budgetedShare = 0.35;
/** Of an entry without a stated limit. */
const assumedMemoryMegabytes = 1_000;
const minimumLimitMegabytes = 8;
const bytesPerMegabyte = 1_000_000;

/** Share of the limit up to which answers are read ahead, and down to which readers are ended. */
const readAheadShare = 0.6;
/** Above this share, readers that have stopped reading are ended. */
const endStalledShare = 0.75;
/** Above this share, new requests are refused. */
const refuseShare = 0.85;
/** Above this share, any reader may be ended; the rest is for bytes that arrive between two checks. */
const endAnyShare = 0.95;

/** A reader that has accepted nothing for this long has stopped; network delays and lost packets take less. */
const stalledMilliseconds = 1_000;
/** Readers whose last progress differs by less are equally slow; the one that holds more is ended first. */
const equallySlowMilliseconds = 250;
/** Ending a reader that holds less releases too little to matter. */
const minimumReleasedBytes = 4_096;
/** Servers cut off an answer that they could not send for some seconds, so what becomes of it is decided before. */
const decideAfterMilliseconds = 2_000;
/** Room made for an answer that is to be read ahead. */
const readAheadStepBytes = 262_144;
/** A caller whose answer is overdue is ended after it has read nothing for this long. */
const overdueMilliseconds = 5_000;
/** Checks that are caused by added bytes and new requests are at least this far apart. */
const minimumCheckDistanceMilliseconds = 10;
/** Readers that have stopped are ended within one to two seconds. */
const retryAfterMilliseconds = 500;
const retryAfterSpreadMilliseconds = 1_000;

/** The budget of a process that is ended at `memoryMegabytes`. */
export const budgetLimitBytes = (memoryMegabytes: number | undefined): number => {
    const available = ((memoryMegabytes ?? assumedMemoryMegabytes) - reservedMegabytes) * budgetedShare;
    return Math.max(minimumLimitMegabytes, available) * bytesPerMegabyte;
};

export const createBufferBudget = (options: BufferBudgetOptions): BufferBudget => {
    const { limitBytes, clock, random, onRefusingChange } = options;
    const readers = new Set<BufferReader>();
    /** Each with the value that it had at the last check. */
    const gauges = new Map<() => number, number>();
    let counted = 0;
    let measured = 0;
    let peakBytes = 0;
    let lastCheckAt = -Infinity;
    let isChecking = false;
    let isRefusing = false;

    const held = (): number => counted + measured;

    const slownessOf = (reader: BufferReader): number =>
        Math.round((clock.now() - reader.lastProgressAt()) / equallySlowMilliseconds);

    /** Ends readers that have accepted nothing for a time, the slowest first, until `targetBytes` are held. */
    const endSlowest = (targetBytes: number, minimumIdleMilliseconds: number): void => {
        const candidates = [...readers]
            .filter(reader =>
                reader.heldBytes() >= minimumReleasedBytes
                && clock.now() - reader.lastProgressAt() >= minimumIdleMilliseconds
            )
            .sort((left, right) => slownessOf(right) - slownessOf(left) || right.heldBytes() - left.heldBytes());
        // A server's request is released a little later than its connection is closed.
        let pendingBytes = 0;
        for (const reader of candidates) {
            if (held() - pendingBytes <= targetBytes) {
                return;
            }
            const expectedBytes = held() - reader.heldBytes();
            endReader(reader, "memory");
            pendingBytes += Math.max(0, held() - expectedBytes);
        }
    };

    const endReader = (reader: BufferReader, cause: EndCause): void => {
        readers.delete(reader);
        reader.end(cause, {
            kind: reader.kind,
            heldBytes: reader.heldBytes(),
            unreadFor: Math.round(clock.now() - reader.lastProgressAt()),
            heldInAll: held(),
            limitBytes,
        });
    };

    const endOverdue = (): void => {
        const now = clock.now();
        [...readers]
            .filter(reader => now > reader.dueAt() && now - reader.lastProgressAt() >= overdueMilliseconds)
            .forEach(reader => endReader(reader, "overdue"));
    };

    const relieve = (): void => {
        if (held() > endStalledShare * limitBytes) {
            endSlowest(readAheadShare * limitBytes, stalledMilliseconds);
        }
        if (held() > endAnyShare * limitBytes) {
            endSlowest(refuseShare * limitBytes, 0);
        }
    };

    /** Lets answers be read ahead before their servers cut them off; the faster their callers, the sooner. */
    const decideHeldBack = (): void => {
        const due = [...readers]
            .filter(reader => clock.now() - (reader.heldBackSince() ?? Infinity) >= decideAfterMilliseconds)
            .sort((left, right) => right.lastProgressAt() - left.lastProgressAt());
        for (const reader of due) {
            if (held() > readAheadShare * limitBytes) {
                endSlowest(readAheadShare * limitBytes - readAheadStepBytes, stalledMilliseconds);
            }
            if (readers.has(reader) && held() <= readAheadShare * limitBytes) {
                reader.readAhead();
            }
        }
    };

    const updateRefusing = (): void => {
        const isSpent = held() > (isRefusing ? endStalledShare : refuseShare) * limitBytes;
        if (isSpent !== isRefusing) {
            isRefusing = isSpent;
            onRefusingChange(isRefusing, { heldBytes: held(), limitBytes, readers: readers.size });
        }
    };

    const check = (): void => {
        if (isChecking) {
            return;
        }
        isChecking = true;
        lastCheckAt = clock.now();
        measured = 0;
        for (const measure of gauges.keys()) {
            const value = measure();
            gauges.set(measure, value);
            measured += value;
        }
        peakBytes = Math.max(peakBytes, held());
        endOverdue();
        relieve();
        decideHeldBack();
        updateRefusing();
        isChecking = false;
    };

    const checkIfAbove = (share: number): void => {
        const isDue = clock.now() - lastCheckAt >= minimumCheckDistanceMilliseconds;
        if (held() > share * limitBytes && isDue) {
            check();
        }
    };

    const removeGauge = (measure: () => number): void => {
        measured -= gauges.get(measure) ?? 0;
        gauges.delete(measure);
    };

    const open = (): HeldBytes => {
        let bytes = 0;
        let isClosed = false;
        let wasExceeded = false;
        const ownGauges = new Set<() => number>();
        return {
            add: added => {
                if (isClosed) {
                    return;
                }
                bytes += added;
                counted += added;
                peakBytes = Math.max(peakBytes, held());
                if (added > 0) {
                    checkIfAbove(endStalledShare);
                }
            },
            bytes: () => bytes,
            fits: added => {
                const doesFit = held() + added <= limitBytes;
                wasExceeded ||= !doesFit;
                return doesFit;
            },
            wasExceeded: () => wasExceeded,
            hasRoomToReadAhead: () => held() < readAheadShare * limitBytes,
            addGauge: measure => {
                if (!isClosed) {
                    gauges.set(measure, 0);
                    ownGauges.add(measure);
                }
                return () => removeGauge(measure);
            },
            close: () => {
                isClosed = true;
                counted -= bytes;
                bytes = 0;
                ownGauges.forEach(removeGauge);
            },
        };
    };

    return {
        open,
        addReader: reader => {
            readers.add(reader);
            return () => void readers.delete(reader);
        },
        admits: bodyBytes => {
            const hasRoom = (): boolean => held() + bodyBytes + requestOverheadBytes <= refuseShare * limitBytes;
            if (!hasRoom()) {
                checkIfAbove(endStalledShare);
            }
            return hasRoom() && !isRefusing;
        },
        suggestedRetryMilliseconds: () => retryAfterMilliseconds + random() * retryAfterSpreadMilliseconds,
        check,
        state: () => ({ heldBytes: held(), limitBytes, peakBytes, readers: readers.size }),
    };
};
