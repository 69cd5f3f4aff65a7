/**
 * Prompt-prefix cache of one simulated rank, and the events that the rank publishes about it.
 *
 * Events are published with a delay and some are omitted, so that consumers are tested against a stale, lossy feed.
 */
import type { Clock } from "../state/types.js";

export type CacheEvent = {
    offset: number;
    kind: "stored" | "evicted";
    /** The first characters of the prompt. */
    prefix: string;
    at: number;
};

const prefixCharacters = 64;
const maximumCachedPrefixes = 256;
const publishDelayMilliseconds = 2_000;
const retainedEvents = 1_000;
/** One event out of this many is never published. */
const omittedEventInterval = 7;

export class PrefixCache {
    private readonly clock: Clock;
    /** Ordered from least to most recently used. */
    private readonly prefixes = new Set<string>();
    private events: CacheEvent[] = [];
    private nextOffset = 0;

    constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Caches the prefix of a prompt that the rank receives, and evicts the least recently used prefix if full. */
    store(prompt: string): void {
        const prefix = prompt.slice(0, prefixCharacters);
        const isCached = this.prefixes.delete(prefix);
        this.prefixes.add(prefix);
        if (!isCached) {
            this.publish("stored", prefix);
        }
        const [oldest] = this.prefixes;
        if (this.prefixes.size > maximumCachedPrefixes && oldest !== undefined) {
            this.prefixes.delete(oldest);
            this.publish("evicted", oldest);
        }
    }

    /** Empties the cache without publishing events, as a crash does. */
    clear(): void {
        this.prefixes.clear();
    }

    /** Returns the published events whose offset is `from` or higher. */
    eventsFrom(from: number): CacheEvent[] {
        const newestPublishedTime = this.clock.now() - publishDelayMilliseconds;
        return this.events.filter(event => event.offset >= from && event.at <= newestPublishedTime);
    }

    private publish(kind: CacheEvent["kind"], prefix: string): void {
        const offset = this.nextOffset;
        this.nextOffset += 1;
        if (offset % omittedEventInterval !== omittedEventInterval - 1) {
            this.events.push({ offset, kind, prefix, at: this.clock.now() });
        }
        if (this.events.length > 2 * retainedEvents) {
            this.events = this.events.slice(-retainedEvents);
        }
    }
}
