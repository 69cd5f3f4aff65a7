/**
 * Model of how a commit reaches the log: claims to coordinate, fenced orders to load weights, and the append of the
 * commit.
 *
 * A coordinator claims the group on the log, has every rank load a plan, and appends the commit once all ranks have
 * answered. Orders and appends may arrive at any later time or never. A paused coordinator is one that does nothing for
 * a while. A rank has one spare buffer for weights, so a later order replaces the weights of an earlier one. A rank
 * that restarts loses its weights and loads those of the commit before it promises, so it counts as prepared.
 */
import { getAdjacencyMap } from "@xstate/graph";
import { type EventObject, fromTransition } from "xstate";

type SpecCoordinator = {
    /** Offset of its claim on the log, which is the fencing token, or -1 before the claim. */
    fence: number;
    /** Ranks that have confirmed the order. */
    preparedRanks: boolean[];
    hasAppended: boolean;
};

type LogEntry = { kind: "claim"; coordinator: number; } | { kind: "commit"; coordinator: number; fence: number; };

export type CommitState = {
    coordinators: SpecCoordinator[];
    log: LogEntry[];
    /** Coordinators whose commit was sent and may still be appended to the log. */
    inFlight: number[];
    /**
     * Coordinator whose plan is in the spare buffer of each rank, -1 for none, and the highest fencing token its agent
     * has seen.
     */
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

/** Each variant breaks one rule. The exploration must find a commit that a rank is not prepared for. */
export const brokenCommitRules: Record<string, CommitRules> = {
    "orders without fencing": { ...commitRules, fencesOrders: false },
    "commits without fencing": { ...commitRules, fencesCommits: false },
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
    // A restarted agent reads the log to its end before it accepts an order.
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
    const { fence, preparedRanks, hasAppended } = state.coordinators[coordinator] as SpecCoordinator;
    if (fence < 0) {
        return [{ type: "claim", coordinator }];
    }
    const ranks = [...preparedRanks.keys()];
    const isReady = preparedRanks.filter(Boolean).length >= rules.requiredAnswers(preparedRanks.length);
    return [
        // Orders may arrive twice, and also after the commit was sent.
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

/** Explores every reachable state; the successors of a violation are not explored. */
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
