/**
 * Stand-in for one group of expert-parallel ranks that run in lock-step, with one HTTP port per rank.
 *
 * Every step takes as long as the slowest rank needs. The whole group waits while any rank is down after a crash, and
 * the formation number increases when that rank rejoins.
 */
import { setMaxListeners } from "node:events";
import type { Clock } from "../state/types.js";
import { splitAddress } from "../transport/address.js";
import { EngineRank, type RankSettings } from "./engineRank.js";
import { addEngineRoutes } from "./engineRoutes.js";
import { createApp, type RunningServer, serveApp } from "./httpServer.js";
import { LoadHistory } from "./loadHistory.js";
import { createMapOrderHandlers } from "./mapOrderHandlers.js";
import { createOrderExecutor, type OrderExecutor, type OrderHandler } from "./orderExecutor.js";
import { PrefixCache } from "./prefixCache.js";
import { RankMap } from "./rankMap.js";

export type EngineOptions = RankSettings & {
    /** Address of rank 0. Unless its port is 0, rank r listens on the port r above it. */
    listen: string;
    ranks: number;
    /** Duration of a step of a rank at full speed. */
    stepMilliseconds: number;
    /** Whether orders with an outdated fencing token are refused. */
    checksFence: boolean;
    /** Whether the ranks start warm, for runs that do not test cold starts. */
    startsWarm: boolean;
    /** Whether the ranks switch expert maps by promises; otherwise steps wait for no promise and run on map 0. */
    expertMaps?: boolean;
    /** Dimensions of the expert load reports. */
    expertShape?: { layers: number; experts: number; };
    /** Time that a rank takes to load the weights of a planned map. */
    mapLoadMilliseconds?: number;
    /** Identifier that the incarnations contain; it differs for each process. */
    engineId: string;
    clock: Clock;
    signal: AbortSignal;
};

/** One step that one rank has executed; `map` is the commit number of its expert map. */
export type StepRecord = { step: number; rank: number; map: number; formation: number; };

/** A rank with the components that its routes use. */
export type RankRuntime = {
    rank: EngineRank;
    cache: PrefixCache;
    loadHistory: LoadHistory;
    orderExecutor: OrderExecutor;
    map: RankMap;
};

const readinessPollMilliseconds = 1;
const retainedStepRecords = 20_000;

/** Group of ranks, with its step counter and the record of executed steps. */
export class EngineGroup {
    readonly rankRuntimes: RankRuntime[];
    /** Increases whenever a rank rejoins the group. */
    formation: number;
    /** Number of steps executed so far. */
    step = 0;
    /** Time for which steps were delayed, by crashed ranks or by promises that were not yet released. */
    heldMilliseconds = 0;
    stepRecords: StepRecord[] = [];
    readonly expertShape: { layers: number; experts: number; };
    private readonly options: EngineOptions;

    constructor(options: EngineOptions) {
        this.options = options;
        this.expertShape = options.expertShape ?? { layers: 1, experts: 16 };
        // Formation numbers must not repeat after a restart of the group: with expert maps the clock gives the first.
        this.formation = options.expertMaps === true ? Math.max(1, Math.floor(options.clock.now())) : 1;
        this.rankRuntimes = [...Array(options.ranks).keys()].map(rank => this.createRankRuntime(rank));
    }

    /** Runs steps until the signal aborts. */
    async run(): Promise<void> {
        const { clock, signal } = this.options;
        let startedAt = clock.now();
        while (!signal.aborted) {
            await this.waitUntilReady();
            const durationMilliseconds = this.takeStepMilliseconds();
            const endsAt = startedAt + durationMilliseconds;
            await clock.sleep(Math.max(0, endsAt - clock.now()), signal);
            this.executeStep(durationMilliseconds);
            startedAt = Math.max(endsAt, clock.now() - durationMilliseconds);
        }
    }

    private createRankRuntime(index: number): RankRuntime {
        const { engineId, clock, signal, checksFence, startsWarm } = this.options;
        const rank = new EngineRank(index, engineId, this.options, clock, signal);
        rank.cold = !startsWarm;
        const map = new RankMap(index, this.formation);
        const loadWeights = (): Promise<void> => clock.sleep(this.options.mapLoadMilliseconds ?? 0, signal);
        return {
            rank,
            cache: new PrefixCache(clock),
            loadHistory: new LoadHistory(),
            orderExecutor: createOrderExecutor(checksFence, {
                ...acknowledgedOrderHandlers,
                ...createMapOrderHandlers(map, loadWeights),
            }),
            map,
        };
    }

    /** Waits until no rank is down and, with expert maps, every rank may run the next step. */
    private async waitUntilReady(): Promise<void> {
        const { clock, signal, expertMaps } = this.options;
        const startedAt = clock.now();
        await this.waitForCrashedRanks();
        const canRun = (runtime: RankRuntime): boolean =>
            !runtime.rank.down && runtime.map.commitForStep(this.step + 1) !== undefined;
        while (expertMaps === true && !this.rankRuntimes.every(canRun) && !signal.aborted) {
            await clock.sleep(readinessPollMilliseconds, signal);
            await this.waitForCrashedRanks();
        }
        this.heldMilliseconds += clock.now() - startedAt;
    }

    private async waitForCrashedRanks(): Promise<void> {
        const { clock, signal } = this.options;
        for (const { rank, cache } of this.rankRuntimes) {
            if (!rank.down) {
                continue;
            }
            await clock.sleep(Math.max(0, rank.downUntil - clock.now()), signal);
            rank.downUntil = 0;
            cache.clear();
            this.formation += 1;
            this.rankRuntimes.forEach(runtime =>
                runtime.map.joinFormation(this.formation, this.step + 1, runtime.rank === rank)
            );
        }
    }

    /** Returns the duration of the next step, which the slowest rank determines for all. */
    private takeStepMilliseconds(): number {
        const durationsMilliseconds = this.rankRuntimes.map(({ rank }) =>
            rank.takeStepMilliseconds(this.options.stepMilliseconds)
        );
        return Math.max(...durationsMilliseconds);
    }

    private executeStep(durationMilliseconds: number): void {
        this.step += 1;
        for (const runtime of this.rankRuntimes) {
            const tokens = runtime.rank.running.length;
            runtime.rank.finishStep();
            const commit = runtime.map.commitForStep(this.step) ?? 0;
            runtime.map.finishStep(this.step);
            this.stepRecords.push({
                step: this.step,
                rank: runtime.rank.index,
                map: commit,
                formation: this.formation,
            });
            this.recordLoadSample(runtime, durationMilliseconds, tokens);
        }
        if (this.stepRecords.length > 2 * retainedStepRecords) {
            this.stepRecords = this.stepRecords.slice(-retainedStepRecords);
        }
    }

    private recordLoadSample({ rank, loadHistory }: RankRuntime, durationMilliseconds: number, tokens: number): void {
        loadHistory.add({
            running: rank.running.length,
            waiting: rank.waiting.length,
            tokensPerSecond: tokens / durationMilliseconds * 1_000,
            stepMilliseconds: durationMilliseconds,
            formation: this.formation,
            incarnation: rank.incarnation,
            takenAt: this.options.clock.now(),
        });
    }
}

/** Handlers for orders that the simulated engine only acknowledges. */
const acknowledgedOrderHandlers: Record<string, OrderHandler> = {
    "load-model": () => ({ done: true }),
    "load-adapter": () => ({ done: true }),
    "change-role": () => ({ done: true }),
};

export type Engine = {
    /** Address of each rank, as `ip:port`. */
    addresses: string[];
    group: EngineGroup;
    close: () => Promise<void>;
};

/** Starts a group of ranks and their servers, which run until the signal aborts. */
export const startEngine = async (options: EngineOptions): Promise<Engine> => {
    // The servers and sleeps of all ranks listen to the same signal, which can exceed the default listener limit.
    setMaxListeners(0, options.signal);
    const group = new EngineGroup(options);
    const { host, port } = splitAddress(options.listen);
    const servers: RunningServer[] = [];
    for (const runtime of group.rankRuntimes) {
        const app = createApp();
        addEngineRoutes(app, group, runtime, options.clock);
        const rankPort = port === 0 ? 0 : port + runtime.rank.index;
        servers.push(await serveApp(app, `${host}:${rankPort}`, options.signal));
    }
    void group.run();
    const close = async () => {
        await Promise.all(servers.map(server => server.close()));
    };
    return { addresses: servers.map(server => server.address), group, close };
};
