/**
 * Asks one random peer after the other for what is newer there, topic by topic, and takes it in.
 *
 * The relay carries settings and other shared state to daemons that the platform can't reach, and to new daemons while
 * the platform is out. A topic sends a small digest of what it holds, and the peer answers with what the digest lacks.
 * What may be taken in is the topic's own rule, so a peer that lags or repeats itself does no harm.
 */
import type { Result } from "neverthrow";
import type { Clock, RandomNumber } from "../state/types.js";

const intervalMilliseconds = 1_000;
// A daemon that has heard from no peer yet has nothing to serve with, so it asks more often.
const firstIntervalMilliseconds = 200;

/** One kind of state that the relay carries; digests and updates are plain JSON. */
export type RelayTopic = {
    readonly name: string;
    /** What this daemon holds and wants, as small as it can be told. */
    digest: () => unknown;
    /** What a daemon with `digest` lacks, in at most `maximumBytes` of JSON; undefined when it lacks nothing. */
    newerThan: (digest: unknown, maximumBytes: number) => unknown;
    /** Takes in what a peer sent; content that is malformed or not newer is ignored. */
    accept: (update: unknown) => void;
};

/** Digests or updates by the name of their topic. */
export type RelayMessage = Record<string, unknown>;

export type ExchangeFailure = { kind: "unreachable"; reason: string; };

/** Calls the relay of the peer at `address`, `ip:port`. */
export type PeerExchange = (
    address: string,
    digests: RelayMessage,
    signal: AbortSignal,
) => Promise<Result<RelayMessage, ExchangeFailure>>;

export type RelayOptions = {
    topics: readonly RelayTopic[];
    /** Addresses of the peers known now, without this daemon's own. */
    peers: () => readonly string[];
    exchange: PeerExchange;
    clock: Clock;
    random: RandomNumber;
    signal: AbortSignal;
};

export type RelayStatus = { exchanges: number; failures: number; lastPeer?: string; lastExchangeAt?: number; };

export type Relay = {
    status: () => RelayStatus;
    /** Resolves when the task has ended, after `signal` aborted. */
    done: Promise<void>;
};

/** Answers a peer's digests: for each topic both know, what the peer lacks, within `maximumBytes` in all. */
export const answerDigests = (
    topics: readonly RelayTopic[],
    digests: RelayMessage,
    maximumBytes: number,
): RelayMessage => {
    const answer: RelayMessage = {};
    let bytesLeft = maximumBytes;
    for (const topic of topics) {
        const update = Object.hasOwn(digests, topic.name) ? topic.newerThan(digests[topic.name], bytesLeft) : undefined;
        const bytes = update === undefined ? 0 : Buffer.byteLength(JSON.stringify(update));
        if (update !== undefined && bytes <= bytesLeft) {
            answer[topic.name] = update;
            bytesLeft -= bytes;
        }
    }
    return answer;
};

/** Starts the task that asks a random peer once a second, until `signal` aborts. */
export const startRelay = (options: RelayOptions): Relay => {
    const { topics, peers, exchange, clock, random, signal } = options;
    const status: RelayStatus = { exchanges: 0, failures: 0 };

    const askPeer = async (address: string): Promise<void> => {
        const digests = Object.fromEntries(topics.map(topic => [topic.name, topic.digest()]));
        const answer = await exchange(address, digests, signal);
        if (answer.isErr()) {
            status.failures += 1;
            return;
        }
        status.exchanges += 1;
        status.lastPeer = address;
        status.lastExchangeAt = clock.now();
        for (const topic of topics) {
            if (Object.hasOwn(answer.value, topic.name)) {
                topic.accept(answer.value[topic.name]);
            }
        }
    };

    const run = async (): Promise<void> => {
        while (!signal.aborted) {
            const known = peers();
            const address = known[Math.floor(random() * known.length)];
            if (address !== undefined) {
                await askPeer(address);
            }
            const interval = status.exchanges === 0 ? firstIntervalMilliseconds : intervalMilliseconds;
            await clock.sleep(interval * (0.75 + random() / 2), signal);
        }
    };

    return { status: () => ({ ...status }), done: run() };
};
