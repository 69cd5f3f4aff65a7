/** What a stand-in rank reports as its load, kept for a while so that it can be reported with a lag. */

/** Body of `GET /load`. */
export type EngineLoad = {
    running: number;
    waiting: number;
    tokensPerSecond: number;
    /** Length of the last step. */
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

    /** The newest sample taken at or before `time`, else the oldest. */
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
