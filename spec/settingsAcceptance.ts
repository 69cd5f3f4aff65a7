/**
 * Model of the settings stream, small enough to be explored exhaustively.
 *
 * Operators append changes planned from any earlier state. An append whose response was lost is sent again, or its
 * first copy arrives late, so the log gets a second copy. Readers read record by record, restart without state, start
 * from snapshots where the log has dropped records, and adopt each other's state through the relay. A paused or
 * disconnected reader is one that does nothing for a while.
 */
import { getAdjacencyMap } from "@xstate/graph";
import { type EventObject, fromTransition } from "xstate";

/** One edit of one path; `base` is the offset of the last touch of the path that the operator saw. */
export type SpecEdit = { path: string; removes: boolean; base: number; };

/**
 * State of a path in a reader: the offset of the change that set its value (-1 for none), and that of its last touch.
 */
type SpecNode = { value: number; lastTouch: number; };
export type SpecTree = Record<string, SpecNode>;
export type SpecReader = { offset: number; tree: SpecTree; };

/** `plannedFrom` is the offset of the state from which the change was planned; only the invariants use it. */
type SpecChange = { kind: "change"; edit: SpecEdit; plannedFrom: number; };
type SpecSnapshot = { kind: "snapshot"; upToOffset: number; tree: SpecTree; };
export type SpecRecord = SpecChange | SpecSnapshot;

export type SettingsSpecState = {
    log: SpecRecord[];
    /** Oldest offset that the log retains. */
    oldestOffset: number;
    readers: SpecReader[];
    changesLeft: number;
    copiesLeft: number;
    snapshotsLeft: number;
    restartsLeft: number;
    /** Whether the offset of a reader ever decreased other than by a restart. */
    offsetRegressed: boolean;
};

type SettingsSpecEvent =
    & EventObject
    & (
        | { type: "append"; change: SpecChange; }
        | { type: "appendCopy"; change: SpecChange; }
        | { type: "read" | "restart" | "snapshot"; reader: number; }
        | { type: "relay"; reader: number; from: number; }
        | { type: "drop"; }
    );

/** Rules that a broken variant replaces. */
export type SettingsRules = {
    /** Whether a change is accepted, given its base and the last touch of its path. */
    accepts: (base: number, lastTouched: number) => boolean;
    /** Whether a removal also touches the descendants of the removed path. */
    removalTouchesDescendants: boolean;
    /** Offset after which a reader continues that starts from the snapshot at `snapshotOffset`. */
    offsetAfterSnapshot: (snapshotOffset: number, upToOffset: number) => number;
    /** Whether a reader adopts the state of another through the relay. */
    adoptsRelayedState: (own: SpecReader, other: SpecReader) => boolean;
};

export const settingsRules: SettingsRules = {
    accepts: (base, lastTouched) => base === lastTouched,
    removalTouchesDescendants: true,
    offsetAfterSnapshot: (snapshotOffset, upToOffset) => Math.min(snapshotOffset, upToOffset),
    adoptsRelayedState: (own, other) => other.offset > own.offset,
};

const isDescendant = (path: string, ancestor: string): boolean => path.startsWith(`${ancestor}/`);

const touches = (edit: { path: string; removes: boolean; }, path: string): boolean =>
    edit.path === path || edit.removes && isDescendant(path, edit.path);

/** Last touch among all paths that an edit touches. */
export const specBase = (tree: SpecTree, edit: { path: string; removes: boolean; }): number =>
    Math.max(
        ...Object.entries(tree).filter(([path]) => touches(edit, path)).map(([, { lastTouch }]) => lastTouch),
    );

export const emptySpecReader = (paths: readonly string[]): SpecReader => ({
    offset: -1,
    tree: Object.fromEntries(paths.map(path => [path, { value: -1, lastTouch: -1 }])),
});

/** Applies the next record to `reader`, and returns whether it is an accepted change. */
export const specFold = (
    rules: SettingsRules,
    reader: SpecReader,
    record: SpecRecord,
): { reader: SpecReader; accepted: boolean; } => {
    const offset = reader.offset + 1;
    if (record.kind === "snapshot" || !rules.accepts(record.edit.base, specBase(reader.tree, record.edit))) {
        return { reader: { ...reader, offset }, accepted: false };
    }
    const { edit } = record;
    const nodes = Object.entries(reader.tree).map(([path, node]): [string, SpecNode] => {
        const isTouched = path === edit.path || rules.removalTouchesDescendants;
        const value = edit.removes ? -1 : offset;
        return [path, touches(edit, path) ? { value, lastTouch: isTouched ? offset : node.lastTouch } : node];
    });
    return { reader: { offset, tree: Object.fromEntries(nodes) }, accepted: true };
};

/** State of `reader` after its next read: one more record or, where records are missing, the newest usable snapshot. */
const readNext = (
    rules: SettingsRules,
    { log, oldestOffset }: SettingsSpecState,
    reader: SpecReader,
): SpecReader => {
    const record = log[reader.offset + 1];
    if (reader.offset + 1 >= oldestOffset) {
        return record === undefined ? reader : specFold(rules, reader, record).reader;
    }
    const snapshotStarts = log.flatMap((candidate, offset) =>
        candidate.kind === "snapshot" && offset >= oldestOffset && candidate.upToOffset + 1 >= oldestOffset
            ? [{ offset: rules.offsetAfterSnapshot(offset, candidate.upToOffset), tree: candidate.tree }]
            : []
    );
    return snapshotStarts.findLast(start => start.offset > reader.offset) ?? reader;
};

const replaceAt = <Item>(items: readonly Item[], position: number, item: Item): Item[] =>
    items.map((present, index) => index === position ? item : present);

const readerAt = (state: SettingsSpecState, position: number): SpecReader =>
    state.readers[position] ?? emptySpecReader([]);

const withReader = (state: SettingsSpecState, position: number, reader: SpecReader): SettingsSpecState => ({
    ...state,
    readers: replaceAt(state.readers, position, reader),
    offsetRegressed: state.offsetRegressed || reader.offset < readerAt(state, position).offset,
});

const handle = (rules: SettingsRules, state: SettingsSpecState, event: SettingsSpecEvent): SettingsSpecState => {
    switch (event.type) {
        case "append":
            return { ...state, log: [...state.log, event.change], changesLeft: state.changesLeft - 1 };
        case "appendCopy":
            return { ...state, log: [...state.log, event.change], copiesLeft: state.copiesLeft - 1 };
        case "read":
            return withReader(state, event.reader, readNext(rules, state, readerAt(state, event.reader)));
        case "relay":
            return withReader(state, event.reader, readerAt(state, event.from));
        case "restart": {
            const empty = emptySpecReader(Object.keys(readerAt(state, event.reader).tree));
            const readers = replaceAt(state.readers, event.reader, empty);
            return { ...state, readers, restartsLeft: state.restartsLeft - 1 };
        }
        case "snapshot": {
            const { offset, tree } = readerAt(state, event.reader);
            const log = [...state.log, { kind: "snapshot" as const, upToOffset: offset, tree }];
            return { ...state, log, snapshotsLeft: state.snapshotsLeft - 1 };
        }
        case "drop":
            return { ...state, oldestOffset: state.oldestOffset + 1 };
    }
};

export type SettingsSpecSize = {
    paths: string[];
    readers: number;
    changes: number;
    copies: number;
    snapshots: number;
    restarts: number;
};

const changesFrom = (rules: SettingsRules, state: SettingsSpecState, plannedFrom: number): SpecChange[] => {
    const { tree } = replayLog(rules, state, plannedFrom + 1).reader;
    return Object.keys(tree).flatMap(path =>
        [false, true].map(removes => ({
            kind: "change" as const,
            edit: { path, removes, base: specBase(tree, { path, removes }) },
            plannedFrom,
        }))
    );
};

const eventsOfOperators = (rules: SettingsRules, state: SettingsSpecState): SettingsSpecEvent[] => {
    const revisions = [-1, ...state.log.keys()];
    const changes = state.changesLeft > 0 ? revisions.flatMap(seen => changesFrom(rules, state, seen)) : [];
    const copies = state.copiesLeft > 0 ? state.log.filter(record => record.kind === "change") : [];
    return [
        ...changes.map(change => ({ type: "append" as const, change })),
        ...copies.map(change => ({ type: "appendCopy" as const, change })),
    ];
};

const eventsOfReader = (rules: SettingsRules, state: SettingsSpecState, reader: number): SettingsSpecEvent[] => {
    const own = readerAt(state, reader);
    const peers = [...state.readers.keys()].filter(from => rules.adoptsRelayedState(own, readerAt(state, from)));
    const hasState = own.offset >= 0;
    return [
        ...readNext(rules, state, own) === own ? [] : [{ type: "read" as const, reader }],
        ...hasState && state.restartsLeft > 0 ? [{ type: "restart" as const, reader }] : [],
        ...hasState && state.snapshotsLeft > 0 ? [{ type: "snapshot" as const, reader }] : [],
        ...peers.map(from => ({ type: "relay" as const, reader, from })),
    ];
};

const enabledEvents = (rules: SettingsRules, state: SettingsSpecState): SettingsSpecEvent[] => {
    // Dropping records matters only once there is a snapshot to start from; before that, a reader just stays behind.
    const canDrop = state.oldestOffset < state.log.length && state.log.some(({ kind }) => kind === "snapshot");
    return [
        ...eventsOfOperators(rules, state),
        ...[...state.readers.keys()].flatMap(reader => eventsOfReader(rules, state, reader)),
        ...canDrop ? [{ type: "drop" as const }] : [],
    ];
};

type AcceptedChange = { offset: number; change: SpecChange; };

/**
 * State of a reader that reads the first `length` records of the whole log, including dropped ones, and the changes it
 * accepts.
 */
const replayLog = (rules: SettingsRules, state: SettingsSpecState, length: number) => {
    const accepted: AcceptedChange[] = [];
    let reader = emptySpecReader(Object.keys(readerAt(state, 0).tree));
    for (const record of state.log.slice(0, length)) {
        const step = specFold(rules, reader, record);
        reader = step.reader;
        if (step.accepted && record.kind === "change") {
            accepted.push({ offset: reader.offset, change: record });
        }
    }
    return { reader, accepted };
};

const touchSamePath = (one: SpecEdit, other: SpecEdit): boolean => touches(one, other.path) || touches(other, one.path);

const isUnseenBy = (earlier: AcceptedChange, later: AcceptedChange): boolean =>
    earlier.offset < later.offset && later.change.plannedFrom < earlier.offset
    && touchSamePath(earlier.change.edit, later.change.edit);

const invariants = {
    "all readers of a prefix agree": (state: SettingsSpecState, rules: SettingsRules): boolean =>
        state.readers.every(reader =>
            JSON.stringify(replayLog(rules, state, reader.offset + 1).reader) === JSON.stringify(reader)
        ),
    "no change overwrites one that it was not planned from": (
        state: SettingsSpecState,
        rules: SettingsRules,
    ): boolean => {
        const { accepted } = replayLog(rules, state, state.log.length);
        return !accepted.some(later => accepted.some(earlier => isUnseenBy(earlier, later)));
    },
    "no reader reverts to a lower offset": ({ offsetRegressed }: SettingsSpecState): boolean => !offsetRegressed,
};

export type SettingsInvariant = keyof typeof invariants;

/** Rules that must each break an invariant, named by their fault. */
export const brokenSettingsRules: { name: string; rules: SettingsRules; breaks: SettingsInvariant; }[] = [
    {
        name: "last writer wins",
        rules: { ...settingsRules, accepts: () => true },
        breaks: "no change overwrites one that it was not planned from",
    },
    {
        name: "removal that does not touch descendants",
        rules: { ...settingsRules, removalTouchesDescendants: false },
        breaks: "no change overwrites one that it was not planned from",
    },
    {
        name: "snapshot without its upToOffset",
        rules: { ...settingsRules, offsetAfterSnapshot: snapshotOffset => snapshotOffset },
        breaks: "all readers of a prefix agree",
    },
    {
        name: "relay that adopts a lower offset",
        rules: { ...settingsRules, adoptsRelayedState: (own, other) => other.offset !== own.offset },
        breaks: "no reader reverts to a lower offset",
    },
];

export type SettingsExploration = { states: number; broken: SettingsInvariant[]; };

/** Explores the states within `size`, until one breaks an invariant. */
export const exploreSettings = (rules: SettingsRules, size: SettingsSpecSize): SettingsExploration => {
    const initial: SettingsSpecState = {
        log: [],
        oldestOffset: 0,
        readers: Array.from({ length: size.readers }, () => emptySpecReader(size.paths)),
        changesLeft: size.changes,
        copiesLeft: size.copies,
        snapshotsLeft: size.snapshots,
        restartsLeft: size.restarts,
        offsetRegressed: false,
    };
    const names = Object.keys(invariants) as SettingsInvariant[];
    const broken = new Set<SettingsInvariant>();
    const breaks = (state: SettingsSpecState): boolean => {
        const found = names.filter(name => !invariants[name](state, rules));
        found.forEach(name => broken.add(name));
        return found.length > 0;
    };
    const logic = fromTransition(
        (state: SettingsSpecState, event: SettingsSpecEvent) => handle(rules, state, event),
        initial,
    );
    const map = getAdjacencyMap(logic, {
        events: ({ context }) => broken.size > 0 ? [] : enabledEvents(rules, context),
        serializeState: ({ context }) => JSON.stringify(context),
        serializeEvent: event => JSON.stringify(event),
        stopWhen: ({ context }) => breaks(context),
    });
    return { states: Object.keys(map).length, broken: [...broken] };
};
