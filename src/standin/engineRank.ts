/**
 * One rank of a simulated model engine: continuous batching, cold start, crashes and injected faults.
 *
 * Each step generates one token for every running sequence. A cold rank starts every request immediately and crashes
 * when they exceed its cold capacity. A warm rank runs requests up to its capacity and queues the rest by priority.
 */
import type { Clock } from "../state/types.js";
import { priorities, type Sequence } from "./sequence.js";

export type RankSettings = {
    /** Sequences that a warm rank runs concurrently. */
    capacity: number;
    /** Sequences that a cold rank can run without crashing. */
    coldCapacity: number;
    /** Tokens that a cold rank must generate to become warm. */
    warmAfterTokens: number;
    /** Steps for which a rank that turns cold under load may exceed its cold capacity without crashing. */
    coldGraceSteps: number;
    /** Time for which a crashed rank is unavailable. */
    restartMilliseconds: number;
};

export type RankFaults = {
    /** Fraction of full speed, with 1 for full speed. */
    speed: number;
    /** Time added to the next step only. */
    stallMilliseconds: number;
    /** Aborts, once, the first stream that reaches this number of tokens; 0 disables the fault. */
    cutStreamAfterTokens: number;
    /** Swaps, once, the next chunks of two running requests. */
    crossAnswers: boolean;
    /** Delay before every chunk is written. */
    lateMilliseconds: number;
    /** Age of the load sample that `GET /load` returns. */
    loadLagMilliseconds: number;
};

export type RankCounters = {
    admitted: number;
    admittedWhileCold: number;
    /** Requests admitted while the rank was cold and already at or above its cold capacity. */
    admittedAboveColdCapacity: number;
    crashes: number;
    completed: number;
    cancelled: number;
    generatedTokens: number;
    /** Time of the last admission in milliseconds, 0 before the first. */
    lastAdmittedAt: number;
};

/** Event with one token that is about to be written to a caller. */
type Chunk = { sequence: Sequence; event: string; last: boolean; };

/** A prompt that contains this text crashes the rank that runs it. */
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
    /** Time at which a crashed rank is available again; 0 while it is up. */
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

    /** Identifier that changes whenever the rank crashes or its process restarts. */
    get incarnation(): string {
        return `${this.engineId}-${this.index}-${this.incarnationNumber}`;
    }

    get down(): boolean {
        return this.downUntil > 0;
    }

    /** Admits a request, or crashes if the rank is cold and already at its cold capacity. */
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

    /** Cancels the running or waiting request `id`; returns whether there was one. */
    cancel(id: string): boolean {
        const sequence = [...this.running, ...this.waiting].find(candidate => candidate.id === id);
        return sequence !== undefined && this.drop(sequence);
    }

    /** Removes one sequence and returns whether it was present; other attempts of the same request continue. */
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

    /** Aborts all streams. The rank restarts cold, with a new incarnation. */
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

    /** Makes the rank cold while requests run; waiting requests stay queued until it is warm again. */
    turnCold(): void {
        this.cold = true;
        this.tokensSinceCold = 0;
        this.remainingGraceSteps = this.settings.coldGraceSteps;
    }

    /** Returns the duration of the next step for this rank alone, and resets the stall fault that it includes. */
    takeStepMilliseconds(stepMilliseconds: number): number {
        const durationMilliseconds = stepMilliseconds / this.faults.speed + this.faults.stallMilliseconds;
        this.faults.stallMilliseconds = 0;
        return durationMilliseconds;
    }

    /** Ends a step: generates the next token of every running sequence. */
    finishStep(): void {
        if (
            this.running.some(sequence => sequence.prompt.includes(crashTriggerText)) || this.isOverloadedAfterGrace()
        ) {
            this.crash();
            return;
        }
        // Runs one step after the threshold token was written, so that the reader gets it before the connection closes.
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

    /** Whether a cold rank exceeds its cold capacity after its grace steps; uses up a grace step if it exceeds it. */
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

    /** Moves waiting requests into the batch, by priority and then by age. */
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
