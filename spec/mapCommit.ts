/**
 * Specification of how a commit comes to be: claims to coordinate, fenced orders to load weights, and the append.
 *
 * A coordinator claims the group on the log, has every rank load a plan, and appends the commit once it has every
 * answer. Orders and appends may arrive at any later time or never; a coordinator that does nothing for a while is
 * paused. A rank has one spare place for weights, so a later order takes the place of an earlier one. A rank that
 * restarts has lost its weights and loads those of the commit before it promises, so it counts as provided for.
 */
import { getAdjacencyMap } from "@xstate/graph";
import { type EventObject, fromTransition } from "xstate";

type SpecCoordinator = {
    /** Offset of its claim on the log, the fencing number, or -1 before the claim. */
    fence: number;
    /** Ranks whose answer it has. */
    preparedRanks: boolean[];
    hasAppended: boolean;
};

type LogEntry = { kind: "claim"; coordinator: number; } | { kind: "commit"; coordinator: number; fence: number; };

export type CommitState = {
    coordinators: SpecCoordinator[];
    log: LogEntry[];
    /** Commits that were sent and that the log may still take. */
    inFlight: number[];
    /** Whose plan each rank holds in its spare place, -1 for none, and the highest fence that its agent has seen. */
    ranks: { plan: number; fence: number; hasRestarted: boolean; }[];
    restartsLeft: number;
    agentRestartsLeft: number;
    violated: boolean;
};

export type CommitEvent =
    & EventObject
    & (
        | { type: "claim" | "append" | "take"; coordinator: number; }
        | { type: "order"; coordinator: number; rank: number; }
        | { type: "restart" | "restartAgent"; rank: number; }
    );

/** Rules that a broken variant replaces. */
export type CommitRules = {
    fencesOrders: boolean;
    fencesCommits: boolean;
    requiredAnswers: (ranks: number) => number;
};

export type CommitSize = { ranks: number; coordinators: number; restarts: number; agentRestarts: number; };

export const commitRules: CommitRules = { fencesOrders: true, fencesCommits: true, requiredAnswers: ranks => ranks };

/** Each variant breaks one rule; the exploration must find a commit that a rank is not prepared for. */
export const brokenCommitRules: Record<string, CommitRules> = {
    "orders without a fence": { ...commitRules, fencesOrders: false },
    "commits without a fence": { ...commitRules, fencesCommits: false },
    "a commit before all are prepared": { ...commitRules, requiredAnswers: ranks => ranks - 1 },
};

const lastClaim = (log: LogEntry[]): number => log.findLastIndex(({ kind }) => kind === "claim");

const replace = <Item>(items: Item[], index: number, update: (item: Item) => Item): Item[] =>
    items.map((item, position) => position === index ? update(item) : item);

type Handlers = {
    [Type in CommitEvent["type"]]: (
        rules: CommitRules,
        state: CommitState,
        event: Extract<CommitEvent, { type: Type; }>,
    ) => CommitState;
};

const handlers: Handlers = {
    claim: (rules, state, { coordinator }) => ({
        ...state,
        coordinators: replace(state.coordinators, coordinator, old => ({ ...old, fence: state.log.length })),
        log: [...state.log, { kind: "claim", coordinator }],
    }),
    order: (rules, state, { coordinator, rank }) => {
        const { fence: orderFence } = state.coordinators[coordinator] ?? { fence: -1 };
        const highestFence = state.ranks[rank]?.fence ?? -1;
        if (rules.fencesOrders && orderFence < highestFence) {
            return state;
        }
        return {
            ...state,
            ranks: replace(
                state.ranks,
                rank,
                old => ({ ...old, plan: coordinator, fence: Math.max(highestFence, orderFence) }),
            ),
            coordinators: replace(state.coordinators, coordinator, old => ({
                ...old,
                preparedRanks: replace(old.preparedRanks, rank, () => true),
            })),
        };
    },
    append: (rules, state, { coordinator }) => ({
        ...state,
        coordinators: replace(state.coordinators, coordinator, old => ({ ...old, hasAppended: true })),
        inFlight: [...state.inFlight, coordinator],
    }),
    take: (rules, state, { coordinator }) => {
        const { fence } = state.coordinators[coordinator] ?? { fence: -1 };
        const isAccepted = !rules.fencesCommits || lastClaim(state.log) === fence;
        const isPrepared = state.ranks.every(({ plan, hasRestarted }) => plan === coordinator || hasRestarted);
        return {
            ...state,
            inFlight: state.inFlight.filter(other => other !== coordinator),
            log: [...state.log, { kind: "commit", coordinator, fence }],
            violated: state.violated || isAccepted && !isPrepared,
        };
    },
    restart: (rules, state, { rank }) => ({
        ...state,
        ranks: replace(state.ranks, rank, old => ({ ...old, plan: -1, hasRestarted: true })),
        restartsLeft: state.restartsLeft - 1,
    }),
    // A new agent reads the log to its end before it takes an order.
    restartAgent: (rules, state, { rank }) => ({
        ...state,
        ranks: replace(state.ranks, rank, old => ({ ...old, fence: lastClaim(state.log) })),
        agentRestartsLeft: state.agentRestartsLeft - 1,
    }),
};

const handle = <Type extends CommitEvent["type"]>(
    type: Type,
    rules: CommitRules,
    state: CommitState,
    event: Extract<CommitEvent, { type: Type; }>,
): CommitState => handlers[type](rules, state, event);

const coordinatorEvents = (rules: CommitRules, state: CommitState, coordinator: number): CommitEvent[] => {
    const { fence, preparedRanks: answered, hasAppended } = state.coordinators[coordinator] as SpecCoordinator;
    if (fence < 0) {
        return [{ type: "claim", coordinator }];
    }
    const ranks = [...answered.keys()];
    const isReady = answered.filter(Boolean).length >= rules.requiredAnswers(answered.length);
    return [
        // Orders may come twice, and late ones after the commit was sent.
        ...ranks.map(rank => ({ type: "order" as const, coordinator, rank })),
        ...(isReady && !hasAppended ? [{ type: "append" as const, coordinator }] : []),
        ...(state.inFlight.includes(coordinator) ? [{ type: "take" as const, coordinator }] : []),
    ];
};

const enabledEvents = (rules: CommitRules, state: CommitState): CommitEvent[] => [
    ...[...state.coordinators.keys()].flatMap(coordinator => coordinatorEvents(rules, state, coordinator)),
    ...[...state.ranks.keys()].flatMap<CommitEvent>(rank => [
        ...(state.restartsLeft > 0 ? [{ type: "restart" as const, rank }] : []),
        ...(state.agentRestartsLeft > 0 ? [{ type: "restartAgent" as const, rank }] : []),
    ]),
];

/** Explores every reachable state; a violation is not followed further. */
export const exploreMapCommit = (rules: CommitRules, size: CommitSize): { states: number; violations: number; } => {
    const initial: CommitState = {
        coordinators: Array.from({ length: size.coordinators }, () => ({
            fence: -1,
            preparedRanks: new Array<boolean>(size.ranks).fill(false),
            hasAppended: false,
        })),
        log: [],
        inFlight: [],
        ranks: Array.from({ length: size.ranks }, () => ({ plan: -1, fence: -1, hasRestarted: false })),
        restartsLeft: size.restarts,
        agentRestartsLeft: size.agentRestarts,
        violated: false,
    };
    const logic = fromTransition(
        (state: CommitState, event: CommitEvent) => handle(event.type, rules, state, event),
        initial,
    );
    const map = getAdjacencyMap(logic, {
        events: ({ context }) => enabledEvents(rules, context),
        serializeState: ({ context }) => JSON.stringify(context),
        stopWhen: ({ context }) => context.violated,
        limit: Infinity,
    });
    const states = Object.values(map).map(({ state }) => state.context);
    return { states: states.length, violations: states.filter(({ violated }) => violated).length };
};
