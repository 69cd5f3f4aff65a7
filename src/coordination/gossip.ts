/**
 * Spreads shared state among the daemons, topic by topic, without the platform.
 *
 * Once a second a daemon exchanges small digests with one random peer, takes in what is newer there and sends what is
 * newer here. What changes is also pushed at once to a few random peers, each of which does the same: so a change
 * reaches most daemons within a few hops, and the exchanges find the rest. The relay carries settings to daemons that
 * the platform can't reach, and to new daemons while the platform is out. What may be taken in is the topic's own rule,
 * so a peer that lags or repeats itself does no harm.
 */
import type { Result } from "neverthrow";
import type { Clock, RandomNumber } from "../state/types.js";

const intervalMilliseconds = 1_000;
// A daemon that has heard from no peer yet has nothing to serve with, so it asks more often.
const firstIntervalMilliseconds = 200;
const pushFanout = 3;
// Larger updates are left to the exchanges, which know what the peer lacks.
const maximumPushBytes = 16_384;
/** Largest update that one exchange carries: a whole tree of settings of the size to come fits. */
export const maximumExchangeBytes = 8 * 1_048_576;

/** One kind of state that the relay carries; digests and updates are plain JSON. */
export type GossipTopic = {
    readonly name: string;
    /** What this daemon holds and wants, as small as it can be told. */
    digest: () => unknown;
    /** What a daemon with `digest` lacks, in at most `maximumBytes` of JSON; undefined when it lacks nothing. */
    newerThan: (digest: unknown, maximumBytes: number) => unknown;
    /** Takes in what a peer sent; content that is malformed or not newer is ignored. */
    accept: (update: unknown) => void;
    /** Calls `listener` after each change that is worth pushing, until `signal` aborts; absent when none is. */
    subscribe?: (listener: () => void, signal: AbortSignal) => void;
};

/** Digests or updates by the name of their topic. */
export type GossipMessage = Record<string, unknown>;

/** What one daemon tells another: what it holds, and what it knows that the other lacks. */
export type GossipExchange = { digests: GossipMessage; updates: GossipMessage; };

export type ExchangeFailure = { kind: "unreachable"; reason: string; };

/** Calls the relay of the peer at `address`, `ip:port`, and gives its answer. */
export type PeerExchange = (
    address: string,
    message: GossipExchange,
    signal: AbortSignal,
) => Promise<Result<GossipExchange, ExchangeFailure>>;

export type GossipOptions = {
    /** The topics; one that is added to the list later takes part in the exchanges. */
    topics: readonly GossipTopic[];
    /** Addresses of the peers known now, without this daemon's own. */
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
    /** Resolves when the tasks have ended, after `signal` aborted. */
    done: Promise<void>;
};

const digestsOf = (topics: readonly GossipTopic[]): GossipMessage =>
    Object.fromEntries(topics.map(topic => [topic.name, topic.digest()]));

/** For each topic that `digests` names, what their holder lacks, within `maximumBytes` in all. */
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

/** Takes in a peer's message and answers it. */
export const answerPeerExchange = (
    topics: readonly GossipTopic[],
    { digests, updates }: GossipExchange,
): GossipExchange => {
    acceptUpdates(topics, updates);
    const asked = topics.filter(({ name }) => Object.hasOwn(digests, name));
    return { digests: digestsOf(asked), updates: updatesFor(topics, digests, maximumExchangeBytes) };
};

/** Starts the task that exchanges with a random peer once a second and the one that pushes changes. */
export const startGossip = (options: GossipOptions): Gossip => {
    const { topics, peers, exchange, clock, random, signal } = options;
    const status: GossipStatus = { exchanges: 0, pushes: 0, failures: 0 };

    const randomPeers = (count: number): string[] => {
        const known = [...peers()];
        const chosen: string[] = [];
        while (chosen.length < count && known.length > 0) {
            chosen.push(...known.splice(Math.floor(random() * known.length), 1));
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

/** `next` resolves at the next change of a topic, at once if one came since the last call, or when `signal` aborts. */
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
