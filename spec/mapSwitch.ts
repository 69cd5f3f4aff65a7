/**
 * Specification of the switch from one expert map to the next, once commits are on the log, small enough to be explored
 * exhaustively.
 *
 * Ranks run steps in lock-step, each by its own promises and releases. An agent learns commits from the log or from a
 * peer's promise, and hears a peer's promises one after the other: a message that is lost or late is one that is not
 * heard yet, and a message that comes twice changes nothing. An agent that does nothing for a while is paused. A rank
 * that restarts opens a new formation, which the other ranks join one by one; an agent that restarts forgets what it
 * heard, while the engine keeps its promise. Which commits reach the log is the matter of `spec/mapCommit.ts`; here any
 * of them may appear at any time.
 */
import { getAdjacencyMap } from "@xstate/graph";
import { type EventObject, fromTransition } from "xstate";

type SpecPromise = { commit: number; last: number; previous: number; };

type SpecRank = {
    formation: number;
    /** The next step. */
    step: number;
    promises: SpecPromise[];
    releases: { commit: number; last: number; }[];
    /** The map of the last step that the rank ran in this formation, or `noMap`. */
    ran: number;
    /** The newest commit that the agent knows. */
    known: number;
    /** How many promises of each rank the agent has heard in this formation. */
    heard: number[];
};

export type SwitchState = {
    ranks: SpecRank[];
    /** Commits 0 to `commits - 1` are on the log; commit -1 is the initial map. */
    commits: number;
    formation: number;
    /** First step of the newest formation. */
    startStep: number;
    rankRestartsLeft: number;
    agentRestartsLeft: number;
    /** Promises of formations that have ended, by rank; only a broken variant looks at them. */
    outlived: SpecPromise[][];
    violated: boolean;
};

export type SwitchEvent =
    & EventObject
    & (
        | { type: "commit"; }
        | { type: "learn" | "promise" | "release" | "run" | "restartRank" | "join" | "restartAgent"; rank: number; }
        | { type: "hear"; rank: number; from: number; }
    );

/** Rules that a broken variant replaces. */
export type SwitchRules = {
    /** Promises of other ranks that must be known before a release. */
    needed: (ranks: number) => number;
    /** Whether promises of ended formations count. */
    countsOutlived: boolean;
    /** Whether an open promise may be given up only when a peer's promise shows that it is dead. */
    needsEvidence: boolean;
    /** Whether a rank of a new formation waits for all promises before its first step. */
    startsHeld: boolean;
};

export type SwitchSize = {
    ranks: number;
    steps: number;
    commits: number;
    rankRestarts: number;
    agentRestarts: number;
};

export const switchRules: SwitchRules = {
    needed: ranks => ranks,
    countsOutlived: false,
    needsEvidence: true,
    startsHeld: true,
};

/** Each variant breaks one rule; the exploration must find a step on two maps in every one of them. */
export const brokenSwitchRules: Record<string, SwitchRules> = {
    "a release before all ranks have promised": { ...switchRules, needed: ranks => ranks - 1 },
    "promises that outlive a formation": { ...switchRules, countsOutlived: true },
    "moving to a later commit without evidence": { ...switchRules, needsEvidence: false },
    "a restarted rank that starts at once": { ...switchRules, startsHeld: false },
};

const initialMap = -1;
const noCommit = -2;
const noMap = -3;

const at = <Item>(items: Item[], index: number): Item => items[index] as Item;

const released = (rank: SpecRank): number => rank.releases.at(-1)?.commit ?? noCommit;

const promised = (rank: SpecRank): number => rank.promises.at(-1)?.commit ?? noCommit;

/** The promises of each rank that the agent of `rank` may use. */
const usable = (rules: SwitchRules, state: SwitchState, number: number): SpecPromise[][] => {
    const own = at(state.ranks, number);
    return state.ranks.map((peer, from) => {
        const current = from === number
            ? own.promises
            : peer.formation === own.formation
            ? peer.promises.slice(0, own.heard[from])
            : [];
        return rules.countsOutlived ? [...at(state.outlived, from), ...current] : current;
    });
};

/** The commit that the agent has its rank promise next, or undefined. */
const nextPromise = (rules: SwitchRules, state: SwitchState, number: number): number | undefined => {
    const rank = at(state.ranks, number);
    const open = promised(rank);
    if (rank.known <= open) {
        return undefined;
    }
    const isDead = usable(rules, state, number).flat().some(({ commit, previous }) => commit > open && previous < open);
    return open === released(rank) || isDead || !rules.needsEvidence ? rank.known : undefined;
};

/** The largest `last` once enough ranks' promises for the open commit are known. */
const releaseStep = (rules: SwitchRules, state: SwitchState, number: number): number | undefined => {
    const rank = at(state.ranks, number);
    const open = promised(rank);
    if (open === released(rank)) {
        return undefined;
    }
    const lasts = usable(rules, state, number)
        .flatMap(promises => promises.findLast(({ commit }) => commit === open)?.last ?? []);
    return lasts.length >= rules.needed(state.ranks.length) ? Math.max(...lasts) : undefined;
};

/** The map on which the rank runs its next step, or undefined while it must wait. */
const mapOfNextStep = (rank: SpecRank): number | undefined => {
    const open = rank.promises.at(-1);
    if (open !== undefined && open.commit > released(rank) && rank.step > open.last) {
        return undefined;
    }
    return rank.releases.findLast(({ last }) => rank.step > last)?.commit;
};

/** The releases from the one that the next step runs on. */
const neededReleases = ({ releases, step }: SpecRank): SpecRank["releases"] =>
    releases.slice(Math.max(0, releases.findLastIndex(({ last }) => step > last)));

/** A step starts on a rank when all ranks of the formation are done with the one before. */
const mayRun = (state: SwitchState, size: SwitchSize, number: number): boolean => {
    const rank = at(state.ranks, number);
    const bound = rank.formation === state.formation ? size.steps : state.startStep;
    return rank.step <= bound
        && state.ranks.every(peer => peer.formation !== rank.formation || peer.step >= rank.step)
        && mapOfNextStep(rank) !== undefined;
};

const makePromise = (state: SwitchState, rank: SpecRank, commit: number): SpecRank => {
    const last = rank.releases.length === 0
        ? state.startStep - 1
        : Math.max(rank.step, at(rank.releases, rank.releases.length - 1).last);
    return { ...rank, promises: [...rank.promises, { commit, last, previous: promised(rank) }] };
};

/** The rank as a member of the newest formation, before its first promise there. */
const joinFormation = (rules: SwitchRules, state: SwitchState, rank: SpecRank, restarted: boolean): SpecRank => {
    const kept = rules.startsHeld || rank.releases.length === 0 && !restarted ? [] : [{ commit: rank.known, last: 0 }];
    return {
        ...rank,
        formation: state.formation,
        step: state.startStep,
        promises: kept.map(({ commit, last }) => ({ commit, last, previous: noCommit })),
        releases: kept,
        ran: noMap,
        heard: rank.heard.map(() => 0),
    };
};

type Handlers = {
    [Type in SwitchEvent["type"]]: (
        rules: SwitchRules,
        state: SwitchState,
        event: Extract<SwitchEvent, { type: Type; }>,
    ) => SwitchState;
};

const change = (state: SwitchState, number: number, update: (rank: SpecRank) => SpecRank): SwitchState => ({
    ...state,
    ranks: state.ranks.map((rank, index) => index === number ? update(rank) : rank),
});

const handlers: Handlers = {
    commit: (rules, state) => ({ ...state, commits: state.commits + 1 }),
    learn: (rules, state, { rank }) => change(state, rank, old => ({ ...old, known: state.commits - 1 })),
    promise: (rules, state, { rank }) =>
        change(state, rank, old => makePromise(state, old, nextPromise(rules, state, rank) ?? initialMap)),
    release: (rules, state, { rank }) => {
        const last = releaseStep(rules, state, rank) ?? 0;
        return change(state, rank, old => ({
            ...old,
            releases: [...neededReleases(old), { commit: promised(old), last }],
        }));
    },
    hear: (rules, state, { rank, from }) => {
        const count = at(at(state.ranks, rank).heard, from) + 1;
        const commit = at(at(state.ranks, from).promises, count - 1).commit;
        return change(state, rank, old => ({
            ...old,
            heard: old.heard.map((value, index) => index === from ? count : value),
            known: Math.max(old.known, commit),
        }));
    },
    run: (rules, state, { rank }) => {
        const own = at(state.ranks, rank);
        const map = mapOfNextStep(own) ?? noMap;
        const isMixed = state.ranks.some(peer =>
            peer.formation === own.formation && peer.step === own.step + 1 && peer.ran !== noMap && peer.ran !== map
        );
        const ran = change(state, rank, old => ({ ...old, step: old.step + 1, ran: map }));
        return { ...ran, violated: state.violated || isMixed };
    },
    restartRank: (rules, state, { rank }) => {
        const members = state.ranks.filter(peer => peer.formation === state.formation);
        const next: SwitchState = {
            ...state,
            formation: state.formation + 1,
            startStep: Math.min(...members.map(peer => peer.step)),
            rankRestartsLeft: state.rankRestartsLeft - 1,
            outlived: rules.countsOutlived ? state.ranks.map(peer => peer.promises) : state.outlived,
        };
        return change(next, rank, old => joinFormation(rules, next, old, true));
    },
    join: (rules, state, { rank }) => change(state, rank, old => joinFormation(rules, state, old, false)),
    restartAgent: (rules, state, { rank }) => ({
        ...change(state, rank, old => ({ ...old, known: initialMap, heard: old.heard.map(() => 0) })),
        agentRestartsLeft: state.agentRestartsLeft - 1,
    }),
};

const handle = <Type extends SwitchEvent["type"]>(
    type: Type,
    rules: SwitchRules,
    state: SwitchState,
    event: Extract<SwitchEvent, { type: Type; }>,
): SwitchState => handlers[type](rules, state, event);

const rankEvents = (rules: SwitchRules, size: SwitchSize, state: SwitchState, number: number): SwitchEvent[] => {
    const rank = at(state.ranks, number);
    const enabled: [Exclude<SwitchEvent["type"], "commit" | "hear">, boolean][] = [
        ["learn", rank.known < state.commits - 1],
        ["promise", nextPromise(rules, state, number) !== undefined],
        ["release", releaseStep(rules, state, number) !== undefined],
        ["run", mayRun(state, size, number)],
        ["join", rank.formation < state.formation],
        ["restartRank", state.rankRestartsLeft > 0 && rank.formation === state.formation],
        ["restartAgent", state.agentRestartsLeft > 0],
    ];
    const hears = [...state.ranks.keys()].filter(from => {
        const peer = at(state.ranks, from);
        return from !== number && peer.formation === rank.formation && at(rank.heard, from) < peer.promises.length;
    });
    return [
        ...enabled.filter(([, isEnabled]) => isEnabled).map(([type]) => ({ type, rank: number }) as SwitchEvent),
        ...hears.map(from => ({ type: "hear" as const, rank: number, from })),
    ];
};

const enabledEvents = (rules: SwitchRules, size: SwitchSize, state: SwitchState): SwitchEvent[] => [
    ...(state.commits < size.commits ? [{ type: "commit" as const }] : []),
    ...[...state.ranks.keys()].flatMap(number => rankEvents(rules, size, state, number)),
];

const initialState = (size: SwitchSize): SwitchState => ({
    ranks: Array.from({ length: size.ranks }, () => ({
        formation: 0,
        step: 1,
        promises: [{ commit: initialMap, last: 0, previous: noCommit }],
        releases: [{ commit: initialMap, last: 0 }],
        ran: noMap,
        known: initialMap,
        heard: new Array<number>(size.ranks).fill(1),
    })),
    commits: 0,
    formation: 0,
    startStep: 1,
    rankRestartsLeft: size.rankRestarts,
    agentRestartsLeft: size.agentRestarts,
    outlived: new Array<SpecPromise[]>(size.ranks).fill([]),
    violated: false,
});

const permutations = (items: number[]): number[][] =>
    items.length <= 1
        ? [items]
        : items.flatMap(first => permutations(items.filter(item => item !== first)).map(rest => [first, ...rest]));

const describeRank = (state: SwitchState, number: number, order: number[]): string => {
    const { formation, step, promises, releases, ran, known, heard } = at(state.ranks, number);
    const made = promises.map(({ commit, last, previous }) => `${commit}.${last}.${previous}`).join("+");
    const outlived = at(state.outlived, number).map(({ commit, last }) => `${commit}.${last}`).join("+");
    const freed = releases.map(({ commit, last }) => `${commit}.${last}`).join("+");
    const ears = order.map(from => from === number ? "" : heard[from]).join("");
    return `${formation},${step},${made},${freed},${ran},${known},${ears},${outlived}`;
};

/** One text for all states that differ only in the numbering of the ranks. */
const describeState = (orders: number[][], state: SwitchState): string => {
    const common = [
        state.commits,
        state.formation,
        state.startStep,
        state.rankRestartsLeft,
        state.agentRestartsLeft,
        state.violated,
    ].join();
    const texts = orders.map(order => order.map(number => describeRank(state, number, order)).join("|"));
    return `${common};${texts.reduce((least, text) => text < least ? text : least)}`;
};

/** Whether every rank is in the newest formation, knows the step from which it runs the newest commit, and may run. */
const isSettled = (state: SwitchState): boolean =>
    state.ranks.every(rank =>
        rank.formation === state.formation
        && released(rank) === state.commits - 1
        && mapOfNextStep(rank) !== undefined
    );

const failures: SwitchEvent["type"][] = ["restartRank", "restartAgent", "commit"];

export type SwitchExploration = {
    states: number;
    /** States with a step on two maps. */
    violations: number;
    /** States from which no way without further failures leads to one map everywhere; 0 after a violation. */
    stuck: number;
};

type Transitions = Record<string, { event: SwitchEvent; state: { context: SwitchState; }; }>;

/** Explores every reachable state, up to the numbering of the ranks, or until one violates. */
export const exploreMapSwitch = (rules: SwitchRules, size: SwitchSize): SwitchExploration => {
    const orders = permutations([...Array(size.ranks).keys()]);
    const logic = fromTransition(
        (state: SwitchState, event: SwitchEvent) => handle(event.type, rules, state, event),
        initialState(size),
    );
    const keys = new WeakMap<SwitchState, string>();
    const keyOf = (state: SwitchState): string => {
        const key = keys.get(state) ?? describeState(orders, state);
        keys.set(state, key);
        return key;
    };
    let isViolated = false;
    const map = getAdjacencyMap(logic, {
        events: ({ context }) => enabledEvents(rules, size, context),
        serializeState: snapshot => keyOf(snapshot.context),
        serializeEvent: event => JSON.stringify(event),
        stopWhen: snapshot => {
            isViolated ||= snapshot.context.violated;
            return isViolated;
        },
        limit: Infinity,
    });
    const entries = Object.entries(map);
    const before = new Map<string, string[]>();
    for (const [key, { transitions }] of entries) {
        for (const { event, state } of Object.values(transitions as Transitions)) {
            if (!failures.includes(event.type)) {
                const to = keyOf(state.context);
                before.set(to, [...before.get(to) ?? [], key]);
            }
        }
    }
    const alive = new Set(entries.filter(([, { state }]) => isSettled(state.context)).map(([key]) => key));
    for (const key of alive) {
        (before.get(key) ?? []).forEach(from => alive.add(from));
    }
    const sound = entries.filter(([, { state }]) => !state.context.violated);
    return {
        states: entries.length,
        violations: entries.length - sound.length,
        stuck: isViolated ? 0 : sound.filter(([key]) => !alive.has(key)).length,
    };
};
