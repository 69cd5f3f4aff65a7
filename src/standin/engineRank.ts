/**
 * One rank of a stand-in engine: continuous batching, cold start, crashes and faults.
 *
 * Each step gives one token to every running sequence. A cold rank takes everything that it is sent and crashes above
 * its cold capacity; a warm one runs up to its capacity and lets the rest wait by priority.
 */
import type { Clock } from "../state/types.js";
import { priorities, type Sequence } from "./sequence.js";

export type RankSettings = {
    /** Sequences that a warm rank runs at once. */
    capacity: number;
    /** Sequences that a cold rank bears. */
    coldCapacity: number;
    /** Tokens that a cold rank generates until it is warm. */
    warmAfterTokens: number;
    /** Steps for which a rank that turned cold under load bears what it already runs. */
    coldGraceSteps: number;
    /** Time that a crashed rank stays away. */
    restartMilliseconds: number;
};

export type RankFaults = {
    /** Share of full speed. */
    speed: number;
    /** Extra time of the next step. */
    stallMilliseconds: number;
    /** Cuts the first stream that has generated so many tokens, once; 0 for none. */
    cutStreamAfterTokens: number;
    /** Swaps the next chunks of two running requests, once. */
    crossAnswers: boolean;
    /** Delay of every chunk. */
    lateMilliseconds: number;
    /** Age of what `GET /load` reports. */
    loadLagMilliseconds: number;
};

export type RankCounters = {
    admitted: number;
    admittedWhileCold: number;
    /** Admissions of a cold rank that already ran as much as it bears. */
    admittedAboveColdCapacity: number;
    crashes: number;
    completed: number;
    cancelled: number;
    generatedTokens: number;
    /** Time of the last admission, 0 before the first. */
    lastAdmittedAt: number;
};

/** One token on its way to a caller. */
type Chunk = { sequence: Sequence; event: string; last: boolean; };

const crashTriggerText = "crash-upstream";

export class EngineRank {
    readonly faults: RankFaults = {
        speed: 1,
        stallMilliseconds: 0,
        cutStreamAfterTokens: 0,
        crossAnswers: false,
        lateMilliseconds: 0,
        loadLagMilliseconds: 0,
    };
    readonly counters: RankCounters = {
        admitted: 0,
        admittedWhileCold: 0,
        admittedAboveColdCapacity: 0,
        crashes: 0,
        completed: 0,
        cancelled: 0,
        generatedTokens: 0,
        lastAdmittedAt: 0,
    };
    readonly index: number;
    readonly settings: RankSettings;
    readonly running: Sequence[] = [];
    readonly waiting: Sequence[] = [];
    cold = true;
    /** Time at which a crashed rank is back; 0 while it is up. */
    downUntil = 0;
    private incarnationNumber = 1;
    private readonly engineId: string;
    private readonly clock: Clock;
    private readonly signal: AbortSignal;
    private tokensSinceCold = 0;
    private remainingGraceSteps = 0;

    constructor(index: number, engineId: string, settings: RankSettings, clock: Clock, signal: AbortSignal) {
        this.index = index;
        this.engineId = engineId;
        this.settings = settings;
        this.clock = clock;
        this.signal = signal;
    }

    /** Changes whenever the rank crashes or its process starts anew. */
    get incarnation(): string {
        return `${this.engineId}-${this.index}-${this.incarnationNumber}`;
    }

    get down(): boolean {
        return this.downUntil > 0;
    }

    /** Takes a request in, or crashes if the rank is cold and already bears all that it can. */
    admit(sequence: Sequence): void {
        this.counters.admitted += 1;
        this.counters.lastAdmittedAt = this.clock.now();
        if (this.cold) {
            this.counters.admittedWhileCold += 1;
            this.running.push(sequence);
            if (this.running.length > this.settings.coldCapacity) {
                this.counters.admittedAboveColdCapacity += 1;
                this.crash();
            }
            return;
        }
        this.waiting.push(sequence);
        this.startWaiting();
    }

    /** Drops the request `id` wherever it is; gives whether it was there. */
    cancel(id: string): boolean {
        const sequence = [...this.running, ...this.waiting].find(candidate => candidate.id === id);
        return sequence !== undefined && this.drop(sequence);
    }

    /** Drops one sequence; another attempt of the same request stays. */
    drop(sequence: Sequence): boolean {
        for (const queue of [this.running, this.waiting]) {
            const position = queue.indexOf(sequence);
            if (position >= 0) {
                queue.splice(position, 1);
                sequence.abort();
                this.counters.cancelled += 1;
                this.startWaiting();
                return true;
            }
        }
        return false;
    }

    /** Cuts all streams; the rank comes back cold, under a new incarnation. */
    crash(): void {
        this.counters.crashes += 1;
        this.incarnationNumber += 1;
        const interrupted = [...this.running.splice(0), ...this.waiting.splice(0)];
        for (const sequence of interrupted) {
            sequence.abort();
        }
        this.cold = true;
        this.tokensSinceCold = 0;
        this.remainingGraceSteps = 0;
        this.downUntil = this.clock.now() + this.settings.restartMilliseconds;
    }

    /** Loses its warm state under whatever it runs; waiting requests wait on until it is warm. */
    turnCold(): void {
        this.cold = true;
        this.tokensSinceCold = 0;
        this.remainingGraceSteps = this.settings.coldGraceSteps;
    }

    /** Length of the coming step for this rank alone; takes a stall fault with it. */
    takeStepMilliseconds(stepMilliseconds: number): number {
        const durationMilliseconds = stepMilliseconds / this.faults.speed + this.faults.stallMilliseconds;
        this.faults.stallMilliseconds = 0;
        return durationMilliseconds;
    }

    /** Ends a step: every running sequence gets its next token. */
    finishStep(): void {
        if (
            this.running.some(sequence => sequence.prompt.includes(crashTriggerText)) || this.isOverloadedAfterGrace()
        ) {
            this.crash();
            return;
        }
        // One step after the last token, so that the reader has it before the connection breaks.
        this.applyCutStreamFault();
        const chunks = this.running.map(sequence => {
            const event = sequence.generateEvent();
            return { sequence, event, last: sequence.finished };
        });
        this.counters.generatedTokens += chunks.length;
        this.applyCrossAnswersFault(chunks);
        this.writeChunks(chunks);
        this.removeFinished();
        this.recordWarmUpTokens(chunks.length);
        this.startWaiting();
    }

    /** Whether a rank that turned cold still runs more than it bears after its grace. */
    private isOverloadedAfterGrace(): boolean {
        if (!this.cold || this.running.length <= this.settings.coldCapacity) {
            return false;
        }
        this.remainingGraceSteps -= 1;
        return this.remainingGraceSteps < 0;
    }

    private applyCrossAnswersFault(chunks: Chunk[]): void {
        const [first, second] = chunks;
        if (this.faults.crossAnswers && first !== undefined && second !== undefined) {
            this.faults.crossAnswers = false;
            [first.event, second.event] = [second.event, first.event];
        }
    }

    private writeChunks(chunks: Chunk[]): void {
        const write = () => {
            for (const { sequence, event, last } of chunks) {
                sequence.write(event);
                if (last) {
                    sequence.end();
                }
            }
        };
        if (this.faults.lateMilliseconds > 0) {
            void this.clock.sleep(this.faults.lateMilliseconds, this.signal).then(write);
            return;
        }
        write();
    }

    private applyCutStreamFault(): void {
        const tokenThreshold = this.faults.cutStreamAfterTokens;
        const position = tokenThreshold === 0
            ? -1
            : this.running.findIndex(sequence => sequence.nextIndex >= tokenThreshold);
        const sequence = this.running[position];
        if (sequence !== undefined) {
            this.faults.cutStreamAfterTokens = 0;
            this.running.splice(position, 1);
            sequence.abort();
        }
    }

    private removeFinished(): void {
        for (let position = this.running.length - 1; position >= 0; position -= 1) {
            if (this.running[position]?.finished === true) {
                this.running.splice(position, 1);
                this.counters.completed += 1;
            }
        }
    }

    private recordWarmUpTokens(tokens: number): void {
        if (!this.cold) {
            return;
        }
        this.tokensSinceCold += tokens;
        if (this.tokensSinceCold >= this.settings.warmAfterTokens) {
            this.cold = false;
        }
    }

    /** Moves waiting requests into the batch, the most urgent and oldest first. */
    private startWaiting(): void {
        while (!this.cold && this.waiting.length > 0 && this.running.length < this.settings.capacity) {
            this.running.push(...this.takeHighestPriority());
        }
    }

    private takeHighestPriority(): Sequence[] {
        const priorityRanks = this.waiting.map(sequence => priorities.indexOf(sequence.priority));
        const position = priorityRanks.indexOf(Math.min(...priorityRanks));
        return this.waiting.splice(position, 1);
    }
}
