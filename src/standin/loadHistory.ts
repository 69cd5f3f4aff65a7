/** Load samples of a simulated rank, retained so that its load can be reported with a lag. */

/** Body of `GET /load`. */
export type EngineLoad = {
    running: number;
    waiting: number;
    tokensPerSecond: number;
    /** Duration of the last step. */
    stepMilliseconds: number;
    formation: number;
    incarnation: string;
    takenAt: number;
};

const retainedSamples = 2_000;

export class LoadHistory {
    private samples: EngineLoad[] = [];

    add(sample: EngineLoad): void {
        this.samples.push(sample);
        if (this.samples.length > 2 * retainedSamples) {
            this.samples = this.samples.slice(-retainedSamples);
        }
    }

    /** Returns the newest sample taken at or before `time` if there is one, else the oldest sample. */
    sampleAt(time: number): EngineLoad | undefined {
        for (let position = this.samples.length - 1; position > 0; position -= 1) {
            const sample = this.samples[position];
            if (sample !== undefined && sample.takenAt <= time) {
                return sample;
            }
        }
        return this.samples[0];
    }
}
