/**
 * Model of the claims protocol for one key, small enough to be explored exhaustively.
 *
 * Attempts are sent to agents, which append claims, releases and results. An append may reach the log at any later
 * time, in any order, twice, or never; in the last case the model never takes it. An agent reads the log record by
 * record. It may pause at any point, in which case it does nothing for a while, and it may crash. An attempt with an
 * unknown outcome is one that waits forever.
 */
import { getAdjacencyMap } from "@xstate/graph";
import { type EventObject, fromTransition } from "xstate";

type Phase =
    | "new"
    | "waiting"
    | "running"
    | "complete"
    | "replayed"
    | "not-run"
    | "silent";

type Attempt = {
    agent: number;
    phase: Phase;
    /** Number of runs started for this attempt. */
    runs: number;
    /** Whether a run of this attempt completed. */
    isCompleted: boolean;
    /** Whether the caller received the outcome "not run". */
    wasReportedNotRun: boolean;
};

export type SpecEntry = { kind: "claim" | "release" | "result"; attempt: number; };

export type ClaimsState = {
    attempts: Attempt[];
    log: SpecEntry[];
    /** Appends that may still take effect. */
    inFlight: SpecEntry[];
    /** Number of records that each agent has read. */
    recordsRead: number[];
    alive: boolean[];
    duplicatesLeft: number;
    crashesLeft: number;
    /** Index of the first attempt that is a resend. */
    firstResend: number;
};

export type ClaimsEvent =
    & EventObject
    & (
        | { type: "send"; attempt: number; agent: number; }
        | { type: "take" | "duplicate"; entry: SpecEntry; }
        | { type: "read" | "crash"; agent: number; }
        | {
            type: "run" | "end" | "giveUp" | "release" | "replay";
            attempt: number;
        }
    );

/** Rules that a broken variant replaces. */
export type ClaimsRules = {
    /** Whether the agent of an attempt may run it. */
    mayRun: (state: ClaimsState, attempt: number) => boolean;
    /** Phases in which an agent still watches the log for the claim of the attempt. */
    watchedPhases: Phase[];
    /**
     * Phases in which an agent may release an attempt that holds the key, in addition to giving it up while it waits.
     */
    releasablePhases: Phase[];
    /** Whether an attempt may be answered with the result of a run. */
    mayReplay: (state: ClaimsState, attempt: number) => boolean;
};

export type ClaimsSize = {
    /** Number of attempts that may be in progress at the same time. */
    concurrent: number;
    /** Number of attempts that are sent only after an earlier one has ended. */
    resends: number;
    agents: number;
    duplicates: number;
    crashes: number;
};

const isReleased = (prefix: SpecEntry[], attempt: number): boolean =>
    prefix.some(entry => entry.kind === "release" && entry.attempt === attempt);

export type SpecFold = { holder?: number; hasResult: boolean; };

/**
 * The holder is the first claim, in log order, that was not released before it and found the key free. Also returns
 * whether the holder has a result.
 */
export const foldSpecEntries = (prefix: SpecEntry[]): SpecFold => {
    const fold: SpecFold = { hasResult: false };
    prefix.forEach(({ kind, attempt }, index) => {
        if (kind === "claim" && fold.holder === undefined && !isReleased(prefix.slice(0, index), attempt)) {
            fold.holder = attempt;
        }
        if (kind === "release" && fold.holder === attempt && !fold.hasResult) {
            delete fold.holder;
        }
        if (kind === "result" && fold.holder === attempt) {
            fold.hasResult = true;
        }
    });
    return fold;
};

const readPrefixOf = (state: ClaimsState, agent: number): SpecEntry[] => state.log.slice(0, state.recordsRead[agent]);

const foldSeenBy = (state: ClaimsState, attempt: number): SpecFold =>
    foldSpecEntries(readPrefixOf(state, state.attempts[attempt]?.agent ?? 0));

export const claimsRules: ClaimsRules = {
    mayRun: (state, attempt) =>
        state.attempts[attempt]?.phase === "waiting" && foldSeenBy(state, attempt).holder === attempt,
    watchedPhases: ["waiting"],
    releasablePhases: [],
    mayReplay: (state, attempt) => foldSeenBy(state, attempt).hasResult,
};

/** Each variant breaks one rule. The exploration must detect every variant. */
export const brokenClaimsRules: Record<string, { breaks: ClaimsInvariant; rules: ClaimsRules; }> = {
    "a claim taken over as with a lease": {
        breaks: "at most one run",
        rules: {
            ...claimsRules,
            mayRun: (state, attempt) =>
                state.attempts[attempt]?.phase === "waiting"
                && readPrefixOf(state, state.attempts[attempt].agent).findLast(({ kind }) => kind === "claim")?.attempt
                    === attempt,
        },
    },
    "a run before the claim is read back": {
        breaks: "at most one run",
        rules: {
            ...claimsRules,
            mayRun: (state, attempt) =>
                state.attempts[attempt]?.phase === "waiting"
                && state.log.some(entry => entry.kind === "claim" && entry.attempt === attempt)
                && foldSeenBy(state, attempt).holder === undefined,
        },
    },
    "a release after a run": {
        breaks: "at most one run",
        rules: { ...claimsRules, releasablePhases: ["running"] },
    },
    "a run of an attempt that was given up": {
        breaks: "no run after not-run",
        rules: {
            ...claimsRules,
            watchedPhases: ["waiting", "not-run"],
            mayRun: (state, attempt) =>
                ["waiting", "not-run"].includes(state.attempts[attempt]?.phase ?? "new")
                && foldSeenBy(state, attempt).holder === attempt,
        },
    },
    "a replay as soon as the key is held": {
        breaks: "only true answers are replayed",
        rules: {
            ...claimsRules,
            mayReplay: (state, attempt) => foldSeenBy(state, attempt).holder !== undefined,
        },
    },
};

export type ClaimsInvariant = "at most one run" | "no run after not-run" | "only true answers are replayed";

/** Conditions that must hold in every reachable state. */
export const claimsInvariants: Record<ClaimsInvariant, (state: ClaimsState) => boolean> = {
    "at most one run": ({ attempts }) => attempts.reduce((runs, attempt) => runs + attempt.runs, 0) <= 1,
    "no run after not-run": ({ attempts }) =>
        attempts.every(({ wasReportedNotRun, runs }) => !wasReportedNotRun || runs === 0),
    "only true answers are replayed": ({ attempts }) =>
        attempts.every(({ phase }) => phase !== "replayed") || attempts.some(({ isCompleted }) => isCompleted),
};

const initialState = (size: ClaimsSize): ClaimsState => ({
    attempts: Array.from({ length: size.concurrent + size.resends }, () => ({
        agent: 0,
        phase: "new" as const,
        runs: 0,
        isCompleted: false,
        wasReportedNotRun: false,
    })),
    log: [],
    inFlight: [],
    recordsRead: Array<number>(size.agents).fill(0),
    alive: Array<boolean>(size.agents).fill(true),
    duplicatesLeft: size.duplicates,
    crashesLeft: size.crashes,
    firstResend: size.concurrent,
});

const describeEntry = ({ kind, attempt }: SpecEntry): string => `${kind}${attempt}`;

// One short key per state; the exploration spends most of its time on computing it.
const describeState = (
    { attempts, log, inFlight, recordsRead, alive, duplicatesLeft, crashesLeft }: ClaimsState,
): string =>
    [
        ...attempts.map(({ agent, phase, runs, isCompleted, wasReportedNotRun }) =>
            `${agent}${phase}${runs}${isCompleted}${wasReportedNotRun}`
        ),
        log.map(describeEntry).join(),
        inFlight.map(describeEntry).join(),
        recordsRead.join(),
        alive.join(),
        duplicatesLeft,
        crashesLeft,
    ].join(";");

const isSame = (left: SpecEntry, right: SpecEntry): boolean =>
    left.kind === right.kind && left.attempt === right.attempt;

// An append that was already made changes nothing more, and the order of appends in flight is irrelevant.
const withInFlight = (state: ClaimsState, kind: SpecEntry["kind"], attempt: number): SpecEntry[] => {
    const entry = { kind, attempt };
    return [...state.inFlight, ...state.log].some(other => isSame(entry, other))
        ? state.inFlight
        : [...state.inFlight, entry].sort((left, right) => describeEntry(left) < describeEntry(right) ? -1 : 1);
};

const replace = <Item>(items: Item[], index: number, update: (item: Item) => Item): Item[] =>
    items.map((item, position) => position === index ? update(item) : item);

const updateAttempt = (state: ClaimsState, attempt: number, change: Partial<Attempt>): ClaimsState => ({
    ...state,
    attempts: replace(state.attempts, attempt, old => ({ ...old, ...change })),
});

type Handlers = {
    [Type in ClaimsEvent["type"]]: (state: ClaimsState, event: Extract<ClaimsEvent, { type: Type; }>) => ClaimsState;
};

const appendToLog = (state: ClaimsState, entry: SpecEntry): ClaimsState => ({ ...state, log: [...state.log, entry] });

const afterCrash = (attempt: Attempt, agent: number): Attempt =>
    attempt.agent === agent && ["waiting", "running"].includes(attempt.phase)
        ? { ...attempt, phase: "silent" }
        : attempt;

const handlers: Handlers = {
    send: (state, { attempt, agent }) => ({
        ...updateAttempt(state, attempt, { agent, phase: "waiting" }),
        inFlight: withInFlight(state, "claim", attempt),
    }),
    take: (state, { entry }) => {
        const position = state.inFlight.findIndex(other => isSame(other, entry));
        return appendToLog({ ...state, inFlight: state.inFlight.toSpliced(position, 1) }, entry);
    },
    duplicate: (state, { entry }) => appendToLog({ ...state, duplicatesLeft: state.duplicatesLeft - 1 }, entry),
    read: (state, { agent }) => ({ ...state, recordsRead: replace(state.recordsRead, agent, count => count + 1) }),
    crash: (state, { agent }) => ({
        ...state,
        crashesLeft: state.crashesLeft - 1,
        alive: replace(state.alive, agent, () => false),
        attempts: state.attempts.map(attempt => afterCrash(attempt, agent)),
    }),
    run: (state, { attempt }) =>
        updateAttempt(state, attempt, { phase: "running", runs: (state.attempts[attempt]?.runs ?? 0) + 1 }),
    end: (state, { attempt }) => ({
        ...updateAttempt(state, attempt, { phase: "complete", isCompleted: true }),
        inFlight: withInFlight(state, "result", attempt),
    }),
    giveUp: (state, { attempt }) => ({
        ...updateAttempt(state, attempt, { phase: "not-run", wasReportedNotRun: true }),
        inFlight: withInFlight(state, "release", attempt),
    }),
    release: (state, { attempt }) => ({
        ...updateAttempt(state, attempt, { phase: "not-run" }),
        inFlight: withInFlight(state, "release", attempt),
    }),
    replay: (state, { attempt }) => updateAttempt(state, attempt, { phase: "replayed" }),
};

const handle = <Type extends ClaimsEvent["type"]>(
    type: Type,
    state: ClaimsState,
    event: Extract<ClaimsEvent, { type: Type; }>,
): ClaimsState => handlers[type](state, event);

const hasAttempt = (state: ClaimsState, phases: Phase[]): boolean =>
    state.attempts.some(({ phase }) => phases.includes(phase));

// Records that the log takes matter only while a later step can depend on them.
const logEvents = (rules: ClaimsRules, state: ClaimsState): ClaimsEvent[] => {
    if (!hasAttempt(state, ["new", "running", ...rules.watchedPhases])) {
        return [];
    }
    const entries = state.inFlight.filter((entry, index, all) =>
        index === all.findIndex(other => isSame(entry, other))
    );
    return entries.flatMap<ClaimsEvent>(entry => [
        { type: "take", entry },
        ...(state.duplicatesLeft > 0 ? [{ type: "duplicate" as const, entry }] : []),
    ]);
};

const agentEvents = (rules: ClaimsRules, state: ClaimsState): ClaimsEvent[] =>
    state.alive.flatMap<ClaimsEvent>((alive, agent) => {
        const attempts = state.attempts.filter(attempt => attempt.agent === agent);
        const isWatching = attempts.some(({ phase }) => rules.watchedPhases.includes(phase));
        const canRead = alive && isWatching && (state.recordsRead[agent] ?? 0) < state.log.length;
        const canCrash = alive && state.crashesLeft > 0 && attempts.some(({ phase }) => phase !== "new");
        return [
            ...(canRead ? [{ type: "read" as const, agent }] : []),
            ...(canCrash ? [{ type: "crash" as const, agent }] : []),
        ];
    });

const attemptEvents = (rules: ClaimsRules, state: ClaimsState, attempt: number): ClaimsEvent[] => {
    const { phase = "new", agent = 0 } = state.attempts[attempt] ?? {};
    if (!state.alive[agent]) {
        return [];
    }
    const holder = foldSeenBy(state, attempt).holder;
    const enabled: [ClaimsEvent, boolean][] = [
        [{ type: "run", attempt }, rules.mayRun(state, attempt)],
        [{ type: "end", attempt }, phase === "running"],
        [{ type: "release", attempt }, rules.releasablePhases.includes(phase)],
        [{ type: "giveUp", attempt }, phase === "waiting" && (holder === undefined || holder === attempt)],
        [{ type: "replay", attempt }, phase === "waiting" && rules.mayReplay(state, attempt)],
    ];
    return enabled.filter(([, isEnabled]) => isEnabled).map(([event]) => event);
};

const finalPhases: Phase[] = ["complete", "replayed", "not-run", "silent"];

const sendEvents = (state: ClaimsState): ClaimsEvent[] => {
    const attempt = state.attempts.findIndex(({ phase }) => phase === "new");
    const mustWait = attempt >= state.firstResend && !hasAttempt(state, finalPhases);
    if (attempt === -1 || mustWait) {
        return [];
    }
    // Agents without an attempt so far are equivalent, so only the first of them is tried.
    const highestUsedAgent = Math.max(-1, ...state.attempts.slice(0, attempt).map(({ agent }) => agent));
    const agents = state.alive.flatMap((alive, agent) => alive && agent <= highestUsedAgent + 1 ? [agent] : []);
    return agents.map(agent => ({ type: "send", attempt, agent }));
};

const enabledEvents = (rules: ClaimsRules, state: ClaimsState): ClaimsEvent[] => [
    ...sendEvents(state),
    ...logEvents(rules, state),
    ...agentEvents(rules, state),
    ...[...state.attempts.keys()].flatMap(attempt => attemptEvents(rules, state, attempt)),
];

export type Exploration = { states: number; violations: Record<ClaimsInvariant, ClaimsState | undefined>; };

const isBroken = (state: ClaimsState): boolean =>
    Object.values(claimsInvariants).some(invariantHolds => !invariantHolds(state));

/** Explores every reachable state, except the successors of a state that breaks an invariant. */
export const exploreClaims = (rules: ClaimsRules, size: ClaimsSize): Exploration => {
    const logic = fromTransition(
        (state: ClaimsState, event: ClaimsEvent) => handle(event.type, state, event),
        initialState(size),
    );
    const reached = new Set<string>();
    // Only states matter here, not the paths to them, so an event that leads to a known state is left out.
    const isNew = (state: ClaimsState, event: ClaimsEvent): boolean => {
        const countBefore = reached.size;
        return reached.add(describeState(handle(event.type, state, event))).size > countBefore;
    };
    const map = getAdjacencyMap(logic, {
        events: ({ context }) => enabledEvents(rules, context).filter(event => isNew(context, event)),
        serializeState: snapshot => describeState(snapshot.context),
        stopWhen: snapshot => isBroken(snapshot.context),
    });
    const states = Object.values(map).map(({ state }) => state.context);
    const violation = (name: ClaimsInvariant): ClaimsState | undefined =>
        states.find(state => !claimsInvariants[name](state));
    return {
        states: states.length,
        violations: {
            "at most one run": violation("at most one run"),
            "no run after not-run": violation("no run after not-run"),
            "only true answers are replayed": violation("only true answers are replayed"),
        },
    };
};
