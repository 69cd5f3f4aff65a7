/**
 * Gossip between daemons: replicates shared state, topic by topic, without the platform.
 *
 * About once a second a daemon exchanges small digests with one random peer; each side then receives what is newer at
 * the other (anti-entropy). Changes are also pushed at once to a few random peers, each of which pushes them on, so
 * that a change reaches most daemons within a few hops and the exchanges cover the rest. Gossip carries settings to
 * daemons that cannot reach the platform, and to new daemons during an outage of the platform. Each topic decides which
 * updates it accepts, so a peer with stale or repeated updates does no harm.
 */
import type { Result } from "neverthrow";
import type { Clock, RandomNumber } from "../state/types.js";

const intervalMilliseconds = 1_000;
// A daemon that has not exchanged with any peer yet may have no state to serve with, so it exchanges more often.
const firstIntervalMilliseconds = 200;
const pushFanout = 3;
// Larger updates are left to the exchanges, which know what the peer lacks.
const maximumPushBytes = 16_384;
/** Maximum size of the updates in one exchange; leaves room for a whole settings tree of the expected size. */
export const maximumExchangeBytes = 8 * 1_048_576;

/** One kind of replicated state; digests and updates are plain JSON. */
export type GossipTopic = {
    readonly name: string;
    /** A compact summary of what this daemon has and needs. */
    digest: () => unknown;
    /**
     * The update that a daemon with `digest` lacks, in at most `maximumBytes` of JSON; undefined when it lacks nothing.
     */
    newerThan: (digest: unknown, maximumBytes: number) => unknown;
    /** Applies an update from a peer; content that is malformed or not newer is ignored. */
    accept: (update: unknown) => void;
    /**
     * Calls `listener` after each change that is to be pushed, until `signal` aborts; absent if no change is to be
     * pushed.
     */
    subscribe?: (listener: () => void, signal: AbortSignal) => void;
};

/** Digests or updates by topic name. */
export type GossipMessage = Record<string, unknown>;

/** A message between two daemons: the digests of the sender, and the updates that the receiver lacks. */
export type GossipExchange = { digests: GossipMessage; updates: GossipMessage; };

export type ExchangeFailure = { kind: "unreachable"; reason: string; };

/** Sends `message` to the peer at `address`, an `ip:port`, and returns its reply. */
export type PeerExchange = (
    address: string,
    message: GossipExchange,
    signal: AbortSignal,
) => Promise<Result<GossipExchange, ExchangeFailure>>;

export type GossipOptions = {
    /** The topics; a topic that is added to the list later takes part in the exchanges, but is not pushed. */
    topics: readonly GossipTopic[];
    /** Addresses of the currently known peers, excluding this daemon's own. */
    peers: () => readonly string[];
    exchange: PeerExchange;
    clock: Clock;
    random: RandomNumber;
    signal: AbortSignal;
};

export type GossipStatus = {
    exchanges: number;
    pushes: number;
    failures: number;
    lastPeer?: string;
    lastExchangeAt?: number;
};

export type Gossip = {
    status: () => GossipStatus;
    /** Resolves when the tasks have ended after `signal` aborted. */
    done: Promise<void>;
};

const digestsOf = (topics: readonly GossipTopic[]): GossipMessage =>
    Object.fromEntries(topics.map(topic => [topic.name, topic.digest()]));

/** For each topic in `digests`, the update that the owner of the digests lacks, within `maximumBytes` in total. */
const updatesFor = (topics: readonly GossipTopic[], digests: GossipMessage, maximumBytes: number): GossipMessage => {
    const updates: GossipMessage = {};
    let bytesLeft = maximumBytes;
    for (const topic of topics) {
        const update = Object.hasOwn(digests, topic.name) ? topic.newerThan(digests[topic.name], bytesLeft) : undefined;
        const bytes = update === undefined ? 0 : Buffer.byteLength(JSON.stringify(update));
        if (update !== undefined && bytes <= bytesLeft) {
            updates[topic.name] = update;
            bytesLeft -= bytes;
        }
    }
    return updates;
};

const acceptUpdates = (topics: readonly GossipTopic[], updates: GossipMessage): void => {
    for (const topic of topics) {
        if (Object.hasOwn(updates, topic.name)) {
            topic.accept(updates[topic.name]);
        }
    }
};

/** Applies the updates in a peer's message and returns the reply. */
export const answerPeerExchange = (
    topics: readonly GossipTopic[],
    { digests, updates }: GossipExchange,
): GossipExchange => {
    acceptUpdates(topics, updates);
    const requestedTopics = topics.filter(({ name }) => Object.hasOwn(digests, name));
    return { digests: digestsOf(requestedTopics), updates: updatesFor(topics, digests, maximumExchangeBytes) };
};

/** Starts the task that exchanges with a random peer about once a second and the task that pushes changes. */
export const startGossip = (options: GossipOptions): Gossip => {
    const { topics, peers, exchange, clock, random, signal } = options;
    const status: GossipStatus = { exchanges: 0, pushes: 0, failures: 0 };

    const randomPeers = (count: number): string[] => {
        const candidates = [...peers()];
        const chosen: string[] = [];
        while (chosen.length < count && candidates.length > 0) {
            chosen.push(...candidates.splice(Math.floor(random() * candidates.length), 1));
        }
        return chosen;
    };

    const exchangeWith = async (address: string): Promise<void> => {
        const answer = await exchange(address, { digests: digestsOf(topics), updates: {} }, signal);
        if (answer.isErr()) {
            status.failures += 1;
            return;
        }
        status.exchanges += 1;
        status.lastPeer = address;
        status.lastExchangeAt = clock.now();
        acceptUpdates(topics, answer.value.updates);
        const missingUpdates = updatesFor(topics, answer.value.digests, maximumExchangeBytes);
        if (Object.keys(missingUpdates).length > 0) {
            await push(address, missingUpdates);
        }
    };

    const push = async (address: string, updates: GossipMessage): Promise<void> => {
        const answer = await exchange(address, { digests: {}, updates }, signal);
        status.pushes += answer.isOk() ? 1 : 0;
        status.failures += answer.isErr() ? 1 : 0;
    };

    const runExchanges = async (): Promise<void> => {
        while (!signal.aborted) {
            await Promise.all(randomPeers(1).map(exchangeWith));
            const interval = status.exchanges === 0 ? firstIntervalMilliseconds : intervalMilliseconds;
            await clock.sleep(interval * (0.75 + random() / 2), signal);
        }
    };

    const runPushes = async (): Promise<void> => {
        const watcher = watchChanges(topics, signal);
        const pushedTopics = topics.filter(({ subscribe }) => subscribe !== undefined);
        let pushedDigests = digestsOf(pushedTopics);
        while (!signal.aborted) {
            await watcher.next();
            const updates = updatesFor(pushedTopics, pushedDigests, maximumPushBytes);
            pushedDigests = digestsOf(pushedTopics);
            if (Object.keys(updates).length > 0 && !signal.aborted) {
                await Promise.all(randomPeers(pushFanout).map(address => push(address, updates)));
            }
        }
    };

    const done = Promise.all([runExchanges(), runPushes()]).then(() => undefined);
    return { status: () => ({ ...status }), done };
};

/**
 * `next` resolves at the next change of a topic, at once if there was one since the last call, or when `signal` aborts.
 */
const watchChanges = (topics: readonly GossipTopic[], signal: AbortSignal): { next: () => Promise<void>; } => {
    let hasChanged = false;
    let wake: (() => void) | undefined;
    const onChange = (): void => {
        hasChanged = true;
        wake?.();
    };
    topics.forEach(topic => topic.subscribe?.(onChange, signal));
    signal.addEventListener("abort", onChange, { once: true });
    return {
        next: async () => {
            if (!hasChanged && !signal.aborted) {
                await new Promise<void>(resolve => {
                    wake = resolve;
                });
            }
            hasChanged = false;
        },
    };
};
