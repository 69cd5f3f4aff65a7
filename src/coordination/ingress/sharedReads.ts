/**
 * Spares the store the reads that other entries have made already.
 *
 * Load it answers: many entries, each of which must hear of a leaving upstream within a second or two, on a list to
 * which every upstream writes once a second. Whoever reads the list tells the others when it did and up to which record
 * anything that matters was written. An entry that has all of that needs no read of its own; one that lacks some reads
 * at once; and when nobody has told of a read for a while, entries read in the order of their names, so that one of them
 * spares the rest. No entry takes content from another, only the word that nothing was missed.
 */
import type { Clock } from "../../state/types.js";

/** What an entry says of its reads. */
export type StoreNews = {
    /** Milliseconds since the store answered it. */
    contactAge: number;
    /** The operator's records that it has. */
    operatorOffset: number;
    /** Milliseconds since it read the list of upstreams. */
    listAge: number;
    /** Records of the list up to then. */
    listEnd: number;
    /** None of them from this one on mattered. */
    listChangedBefore: number;
};

export type SharedReads = {
    contact: () => void;
    operatorRead: (nextOffset: number) => void;
    /** The list was read up to `nextOffset`; nothing from `changedBefore` on mattered. */
    listRead: (nextOffset: number, changedBefore: number) => void;
    /** Another entry's news, as old as they say. */
    hear: (news: StoreNews) => void;
    /** Milliseconds until this entry is to read the list itself. */
    listDueIn: () => number;
    /** Whether the operator wrote what this entry lacks, as far as others tell. */
    isOperatorBehind: () => boolean;
    /** When the store's answers last vouched, to this entry or another, for what this one has. */
    lastContact: () => number | undefined;
    news: () => StoreNews | undefined;
};

/** Two reads fit into the shortest drain bound of the deployments, 2 s, also when one fails. */
const listPaceMilliseconds = 750;
/** A reader's word reaches the others within a few milliseconds, or 0.1 s if a datagram is lost. */
const turnMilliseconds = 60;
/** Beyond this turn entries don't wait longer for those before them. */
const largestTurn = 6;
/** Between two reads of this entry, also when the store shows it an older list than another one saw. */
const listSpacingMilliseconds = 250;
/** Shorter than the store keeps the records of a list, 20 s, so that a reader rarely needs the whole list. */
const longestUnreadMilliseconds = 15_000;

/** `turn` is this entry's place among those that are heard, in the order of their names, from 0. */
export const createSharedReads = (clock: Pick<Clock, "now">, turn: () => number): SharedReads => {
    let contactAt: number | undefined;
    let vouchedAt: number | undefined;
    let operatorOffset: number | undefined;
    let operatorOffsetTold = 0;
    let list: { nextOffset: number; changedBefore: number; readAt: number; } | undefined;
    /** Since when the list may hold something that this entry lacks. */
    let verifiedAt = -Infinity;
    let changedBeforeTold = 0;
    /** The longest that the list was seen. A read that shows no more may be of an old copy and vouches for nothing. */
    let longestList = 0;

    return {
        contact: () => {
            contactAt = clock.now();
        },
        operatorRead: nextOffset => {
            operatorOffset = nextOffset;
        },
        listRead: (nextOffset, changedBefore) => {
            list = { nextOffset, changedBefore, readAt: clock.now() };
            verifiedAt = nextOffset > longestList ? clock.now() : verifiedAt;
            longestList = Math.max(longestList, nextOffset);
        },
        hear: news => {
            operatorOffsetTold = Math.max(operatorOffsetTold, news.operatorOffset);
            changedBeforeTold = Math.max(changedBeforeTold, news.listChangedBefore);
            if (operatorOffset !== undefined && news.operatorOffset <= operatorOffset) {
                vouchedAt = Math.max(vouchedAt ?? -Infinity, clock.now() - news.contactAge);
            }
            const isGrown = news.listEnd > longestList;
            longestList = Math.max(longestList, news.listEnd);
            if (list !== undefined && news.listChangedBefore <= list.nextOffset && isGrown) {
                verifiedAt = Math.max(verifiedAt, clock.now() - news.listAge);
            }
        },
        listDueIn: () => {
            if (list === undefined) {
                return 0;
            }
            const { nextOffset, readAt } = list;
            const patience = listPaceMilliseconds + Math.min(turn(), largestTurn) * turnMilliseconds;
            const dueAt = changedBeforeTold > nextOffset
                ? readAt
                : Math.min(verifiedAt + patience, readAt + longestUnreadMilliseconds);
            return Math.max(dueAt, readAt + listSpacingMilliseconds) - clock.now();
        },
        isOperatorBehind: () => operatorOffset !== undefined && operatorOffsetTold > operatorOffset,
        lastContact: () =>
            contactAt === undefined && vouchedAt === undefined
                ? undefined
                : Math.max(contactAt ?? -Infinity, vouchedAt ?? -Infinity),
        news: () =>
            contactAt === undefined || operatorOffset === undefined || list === undefined ? undefined : {
                contactAge: Math.round(clock.now() - contactAt),
                operatorOffset,
                listAge: Math.round(clock.now() - list.readAt),
                listEnd: list.nextOffset,
                listChangedBefore: list.changedBefore,
            },
    };
};
