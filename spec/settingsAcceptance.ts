/**
 * Specification of the settings stream, small enough to be explored exhaustively.
 *
 * Operators plan changes from what some reader holds, which may be old, and append them; an append whose answer is lost
 * is sent again. Readers read record by record, start anew with nothing, start from snapshots where the log has dropped
 * records, and take over each other's state through the relay. A reader that is paused or cut off does nothing for a
 * while.
 */
import { getAdjacencyMap } from "@xstate/graph";
import { type EventObject, fromTransition } from "xstate";

/** One edit of one path; `base` is the offset that the operator saw as its last touch. */
export type SpecEdit = { path: string; removes: boolean; base: number; };

/** What a reader knows of a path: the offset of the change that set its value (-1: none) and of its last touch. */
type SpecNode = { value: number; touched: number; };
export type SpecTree = Record<string, SpecNode>;
export type SpecReader = { offset: number; tree: SpecTree; };

/** `seen` is the offset of the state that the change was planned from; only the invariants look at it. */
type SpecChange = { kind: "change"; edit: SpecEdit; seen: number; };
type SpecSnapshot = { kind: "snapshot"; upToOffset: number; tree: SpecTree; };
export type SpecRecord = SpecChange | SpecSnapshot;

export type SettingsSpecState = {
    log: SpecRecord[];
    /** Oldest offset that the log still keeps. */
    first: number;
    drafts: (SpecChange | undefined)[];
    readers: SpecReader[];
    plansLeft: number;
    lostAnswersLeft: number;
    snapshotsLeft: number;
    restartsLeft: number;
    /** Whether a reader's offset ever went down other than by a restart. */
    wentBack: boolean;
};

type SettingsSpecEvent =
    & EventObject
    & (
        | { type: "plan"; operator: number; reader: number; path: string; removes: boolean; }
        | { type: "append" | "appendAnswerLost"; operator: number; }
        | { type: "read" | "restart" | "snapshot"; reader: number; }
        | { type: "relay"; reader: number; from: number; }
        | { type: "drop"; }
    );

/** Rules that a broken variant replaces. */
export type SettingsRules = {
    /** Whether a change is accepted, by its base and the last touch of its path. */
    accepts: (base: number, lastTouched: number) => boolean;
    /** Whether a removal touches the paths below the removed one. */
    removalTouchesBelow: boolean;
    /** Offset after which a reader goes on that starts from the snapshot at `offset`. */
    startsAfter: (snapshot: SpecSnapshot, offset: number) => number;
    /** Whether a reader takes over the state of another through the relay. */
    takesOver: (own: SpecReader, other: SpecReader) => boolean;
};

export const settingsRules: SettingsRules = {
    accepts: (base, lastTouched) => base === lastTouched,
    removalTouchesBelow: true,
    startsAfter: ({ upToOffset }) => upToOffset,
    takesOver: (own, other) => other.offset > own.offset,
};

const isBelow = (path: string, ancestor: string): boolean => path.startsWith(`${ancestor}/`);

const touches = (edit: { path: string; removes: boolean; }, path: string): boolean =>
    edit.path === path || edit.removes && isBelow(path, edit.path);

/** Last touch of all that an edit touches. */
export const specBase = (tree: SpecTree, edit: { path: string; removes: boolean; }): number =>
    Math.max(...Object.entries(tree).filter(([path]) => touches(edit, path)).map(([, { touched }]) => touched));

export const emptySpecReader = (paths: readonly string[]): SpecReader => ({
    offset: -1,
    tree: Object.fromEntries(paths.map(path => [path, { value: -1, touched: -1 }])),
});

/** Folds the next record into `reader`, and says whether it is an accepted change. */
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
        const isTouched = path === edit.path || rules.removalTouchesBelow;
        const value = edit.removes ? -1 : offset;
        return [path, touches(edit, path) ? { value, touched: isTouched ? offset : node.touched } : node];
    });
    return { reader: { offset, tree: Object.fromEntries(nodes) }, accepted: true };
};

/** What `reader` holds after its next read: one more record, or where records are missing the newest usable snapshot. */
const readNext = (rules: SettingsRules, { log, first }: SettingsSpecState, reader: SpecReader): SpecReader => {
    const record = log[reader.offset + 1];
    if (reader.offset + 1 >= first) {
        return record === undefined ? reader : specFold(rules, reader, record).reader;
    }
    const starts = log.flatMap((candidate, offset) =>
        candidate.kind === "snapshot" && offset >= first && candidate.upToOffset + 1 >= first
            ? [{ offset: rules.startsAfter(candidate, offset), tree: candidate.tree }]
            : []
    );
    return starts.findLast(start => start.offset > reader.offset) ?? reader;
};

const replaceAt = <Item>(items: readonly Item[], position: number, item: Item): Item[] =>
    items.map((present, index) => index === position ? item : present);

const readerAt = (state: SettingsSpecState, position: number): SpecReader =>
    state.readers[position] ?? emptySpecReader([]);

const withReader = (state: SettingsSpecState, position: number, reader: SpecReader): SettingsSpecState => ({
    ...state,
    readers: replaceAt(state.readers, position, reader),
    wentBack: state.wentBack || reader.offset < readerAt(state, position).offset,
});

const handle = (rules: SettingsRules, state: SettingsSpecState, event: SettingsSpecEvent): SettingsSpecState => {
    switch (event.type) {
        case "plan": {
            const { offset, tree } = readerAt(state, event.reader);
            const edit = { path: event.path, removes: event.removes, base: specBase(tree, event) };
            const drafts = replaceAt(state.drafts, event.operator, { kind: "change" as const, edit, seen: offset });
            return { ...state, drafts, plansLeft: state.plansLeft - 1 };
        }
        case "append":
        case "appendAnswerLost": {
            const draft = state.drafts[event.operator];
            const isLost = event.type === "appendAnswerLost";
            return {
                ...state,
                log: draft === undefined ? state.log : [...state.log, draft],
                drafts: isLost ? state.drafts : replaceAt(state.drafts, event.operator, undefined),
                lostAnswersLeft: state.lostAnswersLeft - (isLost ? 1 : 0),
            };
        }
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
            return { ...state, first: state.first + 1 };
    }
};

export type SettingsSpecSize = {
    paths: string[];
    readers: number;
    operators: number;
    plans: number;
    lostAnswers: number;
    snapshots: number;
    restarts: number;
};

const plansOf = (state: SettingsSpecState, operator: number): SettingsSpecEvent[] =>
    state.readers.flatMap(({ tree }, reader) =>
        Object.keys(tree).flatMap(path =>
            [false, true].map(removes => ({ type: "plan" as const, operator, reader, path, removes }))
        )
    );

const eventsOfOperator = (state: SettingsSpecState, operator: number): SettingsSpecEvent[] => {
    if (state.drafts[operator] === undefined) {
        return state.plansLeft > 0 ? plansOf(state, operator) : [];
    }
    return [
        { type: "append", operator },
        ...state.lostAnswersLeft > 0 ? [{ type: "appendAnswerLost" as const, operator }] : [],
    ];
};

const eventsOfReader = (rules: SettingsRules, state: SettingsSpecState, reader: number): SettingsSpecEvent[] => {
    const own = readerAt(state, reader);
    const peers = [...state.readers.keys()].filter(from => rules.takesOver(own, readerAt(state, from)));
    const hasState = own.offset >= 0;
    return [
        ...readNext(rules, state, own) === own ? [] : [{ type: "read" as const, reader }],
        ...hasState && state.restartsLeft > 0 ? [{ type: "restart" as const, reader }] : [],
        ...hasState && state.snapshotsLeft > 0 ? [{ type: "snapshot" as const, reader }] : [],
        ...peers.map(from => ({ type: "relay" as const, reader, from })),
    ];
};

const enabledEvents = (rules: SettingsRules, state: SettingsSpecState): SettingsSpecEvent[] => {
    // Dropping records matters only once there is a snapshot to start from; before, a reader just stays behind.
    const drops = state.first < state.log.length && state.log.some(({ kind }) => kind === "snapshot");
    return [
        ...[...state.drafts.keys()].flatMap(operator => eventsOfOperator(state, operator)),
        ...[...state.readers.keys()].flatMap(reader => eventsOfReader(rules, state, reader)),
        ...drops ? [{ type: "drop" as const }] : [],
    ];
};

type AcceptedChange = { offset: number; change: SpecChange; };

/** What a reader of the whole log, dropped records or not, holds after `length` records, and what it accepted. */
const truthAfter = (rules: SettingsRules, state: SettingsSpecState, length: number) => {
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

const overlap = (one: SpecEdit, other: SpecEdit): boolean => touches(one, other.path) || touches(other, one.path);

const isUnseen = (earlier: AcceptedChange, later: AcceptedChange): boolean =>
    earlier.offset < later.offset && later.change.seen < earlier.offset
    && overlap(earlier.change.edit, later.change.edit);

const invariants = {
    "all readers of a prefix agree": (rules: SettingsRules, state: SettingsSpecState): boolean =>
        state.readers.every(reader =>
            JSON.stringify(truthAfter(rules, state, reader.offset + 1).reader) === JSON.stringify(reader)
        ),
    "no change overwrites one that it was not made from": (rules: SettingsRules, state: SettingsSpecState): boolean => {
        const { accepted } = truthAfter(rules, state, state.log.length);
        return !accepted.some(later => accepted.some(earlier => isUnseen(earlier, later)));
    },
    "no reader goes back": (_rules: SettingsRules, { wentBack }: SettingsSpecState): boolean => !wentBack,
};

export type SettingsInvariant = keyof typeof invariants;

/** Rules that must each break an invariant, by what is wrong with them. */
export const brokenSettingsRules: { name: string; rules: SettingsRules; breaks: SettingsInvariant; }[] = [
    {
        name: "last writer that wins",
        rules: { ...settingsRules, accepts: () => true },
        breaks: "no change overwrites one that it was not made from",
    },
    {
        name: "removal that does not touch what is below",
        rules: { ...settingsRules, removalTouchesBelow: false },
        breaks: "no change overwrites one that it was not made from",
    },
    {
        name: "snapshot without its upToOffset",
        rules: { ...settingsRules, startsAfter: (_snapshot, offset) => offset },
        breaks: "all readers of a prefix agree",
    },
    {
        name: "relay that takes over a lower offset",
        rules: { ...settingsRules, takesOver: (own, other) => other.offset !== own.offset },
        breaks: "no reader goes back",
    },
];

export type SettingsExploration = { states: number; broken: SettingsInvariant[]; };

/** Explores every state within `size`, going no further from one that breaks an invariant. */
export const exploreSettings = (rules: SettingsRules, size: SettingsSpecSize): SettingsExploration => {
    const initial: SettingsSpecState = {
        log: [],
        first: 0,
        drafts: Array.from({ length: size.operators }, () => undefined),
        readers: Array.from({ length: size.readers }, () => emptySpecReader(size.paths)),
        plansLeft: size.plans,
        lostAnswersLeft: size.lostAnswers,
        snapshotsLeft: size.snapshots,
        restartsLeft: size.restarts,
        wentBack: false,
    };
    const names = Object.keys(invariants) as SettingsInvariant[];
    const broken = new Set<SettingsInvariant>();
    const breaks = (state: SettingsSpecState): boolean => {
        const found = names.filter(name => !invariants[name](rules, state));
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
