/**
 * Keeps the directory's information on each monitored upstream fresh, with one task for each.
 *
 * An upstream that was heard from recently is not polled, since every response carries its load. A silent one is
 * polled; a suspected one is probed at once and then with exponential backoff. Only polls probe an upstream: no
 * caller's request is risked on one that is not known to be alive.
 */
import type { Result } from "neverthrow";
import type { Clock, HostRecord, LoadReport, RandomNumber } from "../state/types.js";
import type { UpstreamDirectory } from "./upstreamDirectory.js";

/** Requests the load of one agent; the transport layer implements it and bounds its time. */
export type LoadProbe = (upstream: HostRecord, signal: AbortSignal) => Promise<Result<LoadReport, unknown>>;

const pollIntervalMilliseconds = 1_000;

/** Polls of one entry; with more monitored upstreams, each is polled less often. */
const maximumPollsPerSecond = 50;

const initialProbeDelayMilliseconds = 100;
/** A single lost poll does not make an upstream unresponsive. */
const failuresBeforeUnresponsive = 2;
const maximumProbeDelayMilliseconds = 2_000;

type UpstreamMonitorDependencies = {
    directory: UpstreamDirectory;
    probe: LoadProbe;
    clock: Clock;
    random: RandomNumber;
};

/** Monitors the upstreams of the directory, following its host list, until `signal` aborts. */
export const startUpstreamMonitor = (dependencies: UpstreamMonitorDependencies, signal: AbortSignal): void => {
    const tasks = new Map<string, { record: HostRecord; stop: AbortController; wake: () => void; }>();

    const startTask = (record: HostRecord): void => {
        const stopController = new AbortController();
        let sleepController = new AbortController();
        const startSleep = (): AbortSignal => {
            sleepController = new AbortController();
            return sleepController.signal;
        };
        stopController.signal.addEventListener("abort", () => sleepController.abort(), { once: true });
        tasks.set(record.host, { record, stop: stopController, wake: () => sleepController.abort() });
        void monitorUpstream(dependencies, record, startSleep, stopController.signal);
    };

    const syncTasks = (): void => {
        const records = new Map(dependencies.directory.monitored().map(record => [record.host, record]));
        for (const [host, task] of tasks) {
            if (records.get(host)?.address !== task.record.address) {
                task.stop.abort();
                tasks.delete(host);
            }
        }
        [...records.values()].filter(record => !tasks.has(record.host)).forEach(startTask);
    };

    dependencies.directory.onChange(host => {
        if (signal.aborted) {
            return;
        }
        if (host === undefined) {
            syncTasks();
        }
        else if (dependencies.directory.lastContact(host).suspected) {
            tasks.get(host)?.wake();
        }
    });
    signal.addEventListener("abort", () => tasks.forEach(task => task.stop.abort()), { once: true });
    syncTasks();
};

const monitorUpstream = async (
    { directory, probe, clock, random }: UpstreamMonitorDependencies,
    record: HostRecord,
    startSleep: () => AbortSignal,
    signal: AbortSignal,
): Promise<void> => {
    let consecutiveFailures = 0;
    const pollInterval = (): number =>
        Math.max(pollIntervalMilliseconds, directory.monitored().length * 1_000 / maximumPollsPerSecond);

    const nextDelay = (): number => {
        const { lastHeardAt, suspected } = directory.lastContact(record.host);
        if (lastHeardAt === -Infinity && consecutiveFailures === 0) {
            return 0;
        }
        if (suspected || consecutiveFailures > 0) {
            const backoff = Math.min(
                maximumProbeDelayMilliseconds,
                initialProbeDelayMilliseconds * 2 ** consecutiveFailures,
            );
            return backoff * (0.5 + random() / 2);
        }
        return Math.max(0, lastHeardAt + pollInterval() - clock.now());
    };

    while (!signal.aborted) {
        const delayMilliseconds = nextDelay();
        if (delayMilliseconds > 0) {
            await clock.sleep(delayMilliseconds, startSleep());
            // A report arrived during the sleep, so the next poll is due later.
            if (!directory.lastContact(record.host).suspected && consecutiveFailures === 0 && nextDelay() > 0) {
                continue;
            }
        }
        const probeResult = signal.aborted ? undefined : await probe(record, signal);
        if (signal.aborted || probeResult === undefined) {
            return;
        }
        if (probeResult.isOk()) {
            consecutiveFailures = 0;
            directory.observeLoad(record.host, probeResult.value);
        }
        else {
            consecutiveFailures += 1;
            directory.observeFailure(record.host);
            if (consecutiveFailures >= failuresBeforeUnresponsive) {
                directory.observeUnresponsive(record.host);
            }
        }
    }
};
