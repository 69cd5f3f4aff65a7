/**
 * Keeps the directory's word on each watched upstream fresh: one task for each of them.
 *
 * An upstream that was heard of lately is left alone, since every answer carries its load. A silent one is polled, and
 * a suspected one is probed at once and then at growing intervals. Only polls probe; no caller's request is risked on an
 * upstream that is not known to live.
 */
import type { Result } from "neverthrow";
import type { Clock, HostRecord, LoadReport, RandomNumber } from "../state/types.js";
import type { UpstreamDirectory } from "./upstreamDirectory.js";

/** Asks one agent for its load; implemented by transport, which bounds its time. */
export type LoadProbe = (upstream: HostRecord, signal: AbortSignal) => Promise<Result<LoadReport, unknown>>;

const pollIntervalMilliseconds = 1_000;

/** Polls a second of one entry; with more upstreams than that each is polled less often. */
const pollsPerSecond = 50;

const firstProbeDelayMilliseconds = 100;
/** One lost poll is no silence. */
const failuresUntilSilent = 2;
const longestProbeDelayMilliseconds = 2_000;

type WatchTools = {
    directory: UpstreamDirectory;
    probe: LoadProbe;
    clock: Clock;
    random: RandomNumber;
};

/** Watches all upstreams of the directory, as its host list changes, until `signal` aborts. */
export const startUpstreamWatch = (tools: WatchTools, signal: AbortSignal): void => {
    const tasks = new Map<string, { record: HostRecord; stop: AbortController; wake: () => void; }>();

    const startTask = (record: HostRecord): void => {
        const stop = new AbortController();
        let sleep = new AbortController();
        const startSleep = (): AbortSignal => {
            sleep = new AbortController();
            return sleep.signal;
        };
        stop.signal.addEventListener("abort", () => sleep.abort(), { once: true });
        tasks.set(record.host, { record, stop, wake: () => sleep.abort() });
        void watchOne(tools, record, startSleep, stop.signal);
    };

    const followList = (): void => {
        const records = new Map(tools.directory.watched().map(record => [record.host, record]));
        for (const [host, task] of tasks) {
            if (records.get(host)?.address !== task.record.address) {
                task.stop.abort();
                tasks.delete(host);
            }
        }
        [...records.values()].filter(record => !tasks.has(record.host)).forEach(startTask);
    };

    tools.directory.onChange(host => {
        if (signal.aborted) {
            return;
        }
        if (host === undefined) {
            followList();
        }
        else if (tools.directory.lastWord(host).suspected) {
            tasks.get(host)?.wake();
        }
    });
    signal.addEventListener("abort", () => tasks.forEach(task => task.stop.abort()), { once: true });
    followList();
};

const watchOne = async (
    { directory, probe, clock, random }: WatchTools,
    record: HostRecord,
    startSleep: () => AbortSignal,
    signal: AbortSignal,
): Promise<void> => {
    let failures = 0;
    const interval = (): number =>
        Math.max(pollIntervalMilliseconds, directory.watched().length * 1_000 / pollsPerSecond);

    const delay = (): number => {
        const { heardAt, suspected } = directory.lastWord(record.host);
        if (heardAt === -Infinity && failures === 0) {
            return 0;
        }
        if (suspected || failures > 0) {
            const backoff = Math.min(longestProbeDelayMilliseconds, firstProbeDelayMilliseconds * 2 ** failures);
            return backoff * (0.5 + random() / 2);
        }
        return Math.max(0, heardAt + interval() - clock.now());
    };

    while (!signal.aborted) {
        const wait = delay();
        if (wait > 0) {
            await clock.sleep(wait, startSleep());
            // Heard of meanwhile, so that the next poll is due later.
            if (!directory.lastWord(record.host).suspected && failures === 0 && delay() > 0) {
                continue;
            }
        }
        const answer = signal.aborted ? undefined : await probe(record, signal);
        if (signal.aborted || answer === undefined) {
            return;
        }
        if (answer.isOk()) {
            failures = 0;
            directory.observeLoad(record.host, answer.value);
        }
        else {
            failures += 1;
            directory.observeFailure(record.host);
            if (failures >= failuresUntilSilent) {
                directory.observeSilence(record.host);
            }
        }
    }
};
