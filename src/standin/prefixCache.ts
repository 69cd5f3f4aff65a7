/**
 * Prompt-prefix cache of one stand-in rank and the events that it publishes about it, late and with gaps.
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
/** Every so many events, one is never published. */
const omittedEventInterval = 7;

export class PrefixCache {
    private readonly clock: Clock;
    /** Least recently used first. */
    private readonly prefixes = new Set<string>();
    private events: CacheEvent[] = [];
    private nextOffset = 0;

    constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Stores the prefix of a prompt that the rank starts to run. */
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

    /** Forgets everything, without any event, as a crash does. */
    clear(): void {
        this.prefixes.clear();
    }

    /** The events from offset `from` on that are old enough to show. */
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
