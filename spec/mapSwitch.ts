/**
 * Model of the switch from one expert map to the next, once commits are on the log, small enough to be explored
 * exhaustively.
 *
 * Ranks run steps in lock-step, each by its own promises and releases. An agent learns commits from the log or from a
 * peer's promise, and receives a peer's promises one after the other. A lost or delayed message is one that is not
 * received yet, and a duplicate changes nothing. A paused agent is one that does nothing for a while. A rank that
 * restarts opens a new formation, which the other ranks join one by one. An agent that restarts loses what it has
 * received, while the engine keeps its promise. `spec/mapCommit.ts` models which commits reach the log; here any of
 * them may appear at any time.
 */
import { getAdjacencyMap } from "@xstate/graph";
import { type EventObject, fromTransition } from "xstate";

type SpecPromise = { commit: number; last: number; previous: number; };

type SpecRank = {
    formation: number;
    /** Next step that the rank will run. */
    step: number;
    promises: SpecPromise[];
    releases: { commit: number; last: number; }[];
    /** Map of the last step that the rank ran in this formation, or `noMap`. */
    lastRunMap: number;
    /** Newest commit that the agent knows. */
    newestKnownCommit: number;
    /** Number of promises of each rank that the agent has received in this formation. */
    heardPromises: number[];
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
    /** Promises of former formations, by rank; only a broken variant uses them. */
    formerPromises: SpecPromise[][];
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
    /** Number of ranks whose promises must be known before a release. */
    requiredPromises: (ranks: number) => number;
    /** Whether promises of former formations count. */
    countsFormerPromises: boolean;
    /** Whether a pending promise may be given up only if a peer's promise proves that its commit is abandoned. */
    requiresAbandonment: boolean;
    /** Whether a rank of a new formation waits for all promises before its first step. */
    waitsForFirstRelease: boolean;
};

export type SwitchSize = {
    ranks: number;
    steps: number;
    commits: number;
    rankRestarts: number;
    agentRestarts: number;
};

export const switchRules: SwitchRules = {
    requiredPromises: ranks => ranks,
    countsFormerPromises: false,
    requiresAbandonment: true,
    waitsForFirstRelease: true,
};

/** Each variant breaks one rule. The exploration must find a step on two maps in every variant. */
export const brokenSwitchRules: Record<string, SwitchRules> = {
    "a release before all ranks have promised": { ...switchRules, requiredPromises: ranks => ranks - 1 },
    "promises counted in a later formation": { ...switchRules, countsFormerPromises: true },
    "promising a later commit before the pending one is abandoned": { ...switchRules, requiresAbandonment: false },
    "a restarted rank that runs before its first release": { ...switchRules, waitsForFirstRelease: false },
};

const initialMap = -1;
const noCommit = -2;
const noMap = -3;

const at = <Item>(items: Item[], index: number): Item => items[index] as Item;

const released = (rank: SpecRank): number => rank.releases.at(-1)?.commit ?? noCommit;

const promised = (rank: SpecRank): number => rank.promises.at(-1)?.commit ?? noCommit;

/** Promises of each rank that the agent of rank `rankIndex` may use. */
const usablePromises = (rules: SwitchRules, state: SwitchState, rankIndex: number): SpecPromise[][] => {
    const own = at(state.ranks, rankIndex);
    return state.ranks.map((peer, from) => {
        const current = from === rankIndex
            ? own.promises
            : peer.formation === own.formation
            ? peer.promises.slice(0, own.heardPromises[from])
            : [];
        return rules.countsFormerPromises ? [...at(state.formerPromises, from), ...current] : current;
    });
};

/** The commit that the agent has its rank promise next, or undefined. */
const nextPromise = (rules: SwitchRules, state: SwitchState, rankIndex: number): number | undefined => {
    const rank = at(state.ranks, rankIndex);
    const pending = promised(rank);
    if (rank.newestKnownCommit <= pending) {
        return undefined;
    }
    const isAbandoned = usablePromises(rules, state, rankIndex).flat().some(({ commit, previous }) =>
        commit > pending && previous < pending
    );
    return pending === released(rank) || isAbandoned || !rules.requiresAbandonment ? rank.newestKnownCommit : undefined;
};

/** The largest `last` once the promises of enough ranks for the pending commit are known, or undefined. */
const releaseStep = (rules: SwitchRules, state: SwitchState, rankIndex: number): number | undefined => {
    const rank = at(state.ranks, rankIndex);
    const pending = promised(rank);
    if (pending === released(rank)) {
        return undefined;
    }
    const lastSteps = usablePromises(rules, state, rankIndex)
        .flatMap(promises => promises.findLast(({ commit }) => commit === pending)?.last ?? []);
    return lastSteps.length >= rules.requiredPromises(state.ranks.length) ? Math.max(...lastSteps) : undefined;
};

/** Map of the next step of the rank, or undefined while the rank must wait. */
const mapOfNextStep = (rank: SpecRank): number | undefined => {
    const open = rank.promises.at(-1);
    if (open !== undefined && open.commit > released(rank) && rank.step > open.last) {
        return undefined;
    }
    return rank.releases.findLast(({ last }) => rank.step > last)?.commit;
};

/** Releases from the one that the next step runs on. */
const neededReleases = ({ releases, step }: SpecRank): SpecRank["releases"] =>
    releases.slice(Math.max(0, releases.findLastIndex(({ last }) => step > last)));

/** A step starts on a rank once all ranks of the formation have completed the previous one. */
const mayRun = (state: SwitchState, size: SwitchSize, rankIndex: number): boolean => {
    const rank = at(state.ranks, rankIndex);
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
const joinFormation = (rules: SwitchRules, state: SwitchState, rank: SpecRank, hasRestarted: boolean): SpecRank => {
    const initialReleases = rules.waitsForFirstRelease || rank.releases.length === 0 && !hasRestarted
        ? []
        : [{ commit: rank.newestKnownCommit, last: 0 }];
    return {
        ...rank,
        formation: state.formation,
        step: state.startStep,
        promises: initialReleases.map(({ commit, last }) => ({ commit, last, previous: noCommit })),
        releases: initialReleases,
        lastRunMap: noMap,
        heardPromises: rank.heardPromises.map(() => 0),
    };
};

type Handlers = {
    [Type in SwitchEvent["type"]]: (
        rules: SwitchRules,
        state: SwitchState,
        event: Extract<SwitchEvent, { type: Type; }>,
    ) => SwitchState;
};

const updateRank = (state: SwitchState, rankIndex: number, update: (rank: SpecRank) => SpecRank): SwitchState => ({
    ...state,
    ranks: state.ranks.map((rank, index) => index === rankIndex ? update(rank) : rank),
});

const handlers: Handlers = {
    commit: (rules, state) => ({ ...state, commits: state.commits + 1 }),
    learn: (rules, state, { rank }) =>
        updateRank(state, rank, old => ({ ...old, newestKnownCommit: state.commits - 1 })),
    promise: (rules, state, { rank }) =>
        updateRank(state, rank, old => makePromise(state, old, nextPromise(rules, state, rank) ?? initialMap)),
    release: (rules, state, { rank }) => {
        const last = releaseStep(rules, state, rank) ?? 0;
        return updateRank(state, rank, old => ({
            ...old,
            releases: [...neededReleases(old), { commit: promised(old), last }],
        }));
    },
    hear: (rules, state, { rank, from }) => {
        const count = at(at(state.ranks, rank).heardPromises, from) + 1;
        const commit = at(at(state.ranks, from).promises, count - 1).commit;
        return updateRank(state, rank, old => ({
            ...old,
            heardPromises: old.heardPromises.map((value, index) => index === from ? count : value),
            newestKnownCommit: Math.max(old.newestKnownCommit, commit),
        }));
    },
    run: (rules, state, { rank }) => {
        const own = at(state.ranks, rank);
        const map = mapOfNextStep(own) ?? noMap;
        const isMixed = state.ranks.some(peer =>
            peer.formation === own.formation && peer.step === own.step + 1 && peer.lastRunMap !== noMap
            && peer.lastRunMap !== map
        );
        const ran = updateRank(state, rank, old => ({ ...old, step: old.step + 1, lastRunMap: map }));
        return { ...ran, violated: state.violated || isMixed };
    },
    restartRank: (rules, state, { rank }) => {
        const members = state.ranks.filter(peer => peer.formation === state.formation);
        const next: SwitchState = {
            ...state,
            formation: state.formation + 1,
            startStep: Math.min(...members.map(peer => peer.step)),
            rankRestartsLeft: state.rankRestartsLeft - 1,
            formerPromises: rules.countsFormerPromises ? state.ranks.map(peer => peer.promises) : state.formerPromises,
        };
        return updateRank(next, rank, old => joinFormation(rules, next, old, true));
    },
    join: (rules, state, { rank }) => updateRank(state, rank, old => joinFormation(rules, state, old, false)),
    restartAgent: (rules, state, { rank }) => ({
        ...updateRank(
            state,
            rank,
            old => ({ ...old, newestKnownCommit: initialMap, heardPromises: old.heardPromises.map(() => 0) }),
        ),
        agentRestartsLeft: state.agentRestartsLeft - 1,
    }),
};

const handle = <Type extends SwitchEvent["type"]>(
    type: Type,
    rules: SwitchRules,
    state: SwitchState,
    event: Extract<SwitchEvent, { type: Type; }>,
): SwitchState => handlers[type](rules, state, event);

const rankEvents = (rules: SwitchRules, size: SwitchSize, state: SwitchState, rankIndex: number): SwitchEvent[] => {
    const rank = at(state.ranks, rankIndex);
    const enabled: [Exclude<SwitchEvent["type"], "commit" | "hear">, boolean][] = [
        ["learn", rank.newestKnownCommit < state.commits - 1],
        ["promise", nextPromise(rules, state, rankIndex) !== undefined],
        ["release", releaseStep(rules, state, rankIndex) !== undefined],
        ["run", mayRun(state, size, rankIndex)],
        ["join", rank.formation < state.formation],
        ["restartRank", state.rankRestartsLeft > 0 && rank.formation === state.formation],
        ["restartAgent", state.agentRestartsLeft > 0],
    ];
    const sendersToHear = [...state.ranks.keys()].filter(from => {
        const peer = at(state.ranks, from);
        return from !== rankIndex && peer.formation === rank.formation
            && at(rank.heardPromises, from) < peer.promises.length;
    });
    return [
        ...enabled.filter(([, isEnabled]) => isEnabled).map(([type]) => ({ type, rank: rankIndex }) as SwitchEvent),
        ...sendersToHear.map(from => ({ type: "hear" as const, rank: rankIndex, from })),
    ];
};

const enabledEvents = (rules: SwitchRules, size: SwitchSize, state: SwitchState): SwitchEvent[] => [
    ...(state.commits < size.commits ? [{ type: "commit" as const }] : []),
    ...[...state.ranks.keys()].flatMap(rankIndex => rankEvents(rules, size, state, rankIndex)),
];

const initialState = (size: SwitchSize): SwitchState => ({
    ranks: Array.from({ length: size.ranks }, () => ({
        formation: 0,
        step: 1,
        promises: [{ commit: initialMap, last: 0, previous: noCommit }],
        releases: [{ commit: initialMap, last: 0 }],
        lastRunMap: noMap,
        newestKnownCommit: initialMap,
        heardPromises: new Array<number>(size.ranks).fill(1),
    })),
    commits: 0,
    formation: 0,
    startStep: 1,
    rankRestartsLeft: size.rankRestarts,
    agentRestartsLeft: size.agentRestarts,
    formerPromises: new Array<SpecPromise[]>(size.ranks).fill([]),
    violated: false,
});

const permutations = (items: number[]): number[][] =>
    items.length <= 1
        ? [items]
        : items.flatMap(first => permutations(items.filter(item => item !== first)).map(rest => [first, ...rest]));

const describeRank = (state: SwitchState, rankIndex: number, order: number[]): string => {
    const { formation, step, promises, releases, lastRunMap, newestKnownCommit, heardPromises } = at(
        state.ranks,
        rankIndex,
    );
    const promisesText = promises.map(({ commit, last, previous }) => `${commit}.${last}.${previous}`).join("+");
    const formerPromisesText = at(state.formerPromises, rankIndex).map(({ commit, last }) => `${commit}.${last}`).join(
        "+",
    );
    const releasesText = releases.map(({ commit, last }) => `${commit}.${last}`).join("+");
    const heardText = order.map(from => from === rankIndex ? "" : heardPromises[from]).join("");
    return `${formation},${step},${promisesText},${releasesText},${lastRunMap},${newestKnownCommit},${heardText},${formerPromisesText}`;
};

/** One key for all states that differ only in the numbering of the ranks. */
const describeState = (orders: number[][], state: SwitchState): string => {
    const common = [
        state.commits,
        state.formation,
        state.startStep,
        state.rankRestartsLeft,
        state.agentRestartsLeft,
        state.violated,
    ].join();
    const texts = orders.map(order => order.map(rankIndex => describeRank(state, rankIndex, order)).join("|"));
    return `${common};${texts.reduce((least, text) => text < least ? text : least)}`;
};

/** Whether every rank is in the newest formation, has released the newest commit, and may run its next step. */
const isSettled = (state: SwitchState): boolean =>
    state.ranks.every(rank =>
        rank.formation === state.formation
        && released(rank) === state.commits - 1
        && mapOfNextStep(rank) !== undefined
    );

const failures: SwitchEvent["type"][] = ["restartRank", "restartAgent", "commit"];

export type SwitchExploration = {
    states: number;
    /** Number of states with a step on two maps. */
    violations: number;
    /**
     * Number of states from which one map everywhere can't be reached without further failures; 0 after a violation.
     */
    deadlocked: number;
};

type Transitions = Record<string, { event: SwitchEvent; state: { context: SwitchState; }; }>;

/** Explores every reachable state, up to the numbering of the ranks, or until one is a violation. */
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
    const predecessors = new Map<string, string[]>();
    for (const [key, { transitions }] of entries) {
        for (const { event, state } of Object.values(transitions as Transitions)) {
            if (!failures.includes(event.type)) {
                const to = keyOf(state.context);
                predecessors.set(to, [...predecessors.get(to) ?? [], key]);
            }
        }
    }
    const canSettle = new Set(entries.filter(([, { state }]) => isSettled(state.context)).map(([key]) => key));
    for (const key of canSettle) {
        (predecessors.get(key) ?? []).forEach(from => canSettle.add(from));
    }
    const validEntries = entries.filter(([, { state }]) => !state.context.violated);
    return {
        states: entries.length,
        violations: entries.length - validEntries.length,
        deadlocked: isViolated ? 0 : validEntries.filter(([key]) => !canSettle.has(key)).length,
    };
};
