/**
 * Samples of the load that single passes put on a group's experts.
 *
 * A pass holds few requests, each with experts of its own, so a map that suits the sum over seconds can still leave
 * every pass uneven. Each rank tells its counts since its start together with its last pass; between two of them the
 * counts are taken to grow evenly, which puts all ranks on common windows of a few passes. One window is one sample.
 */

export type CountReading = { rank: number; step: number; counts: number[]; };

export type LoadSamples = {
    add: (counts: CountReading) => void;
    /** The latest windows, newest last: for each the tokens of all ranks by layer and expert, in one row. */
    samples: () => number[][];
    clear: () => void;
};

/** Passes of one window; a stream lasts about 26, so a window sees what the next passes will hold. */
const windowSteps = 4;
/** Windows kept, under two seconds of passes at the pace of the sites: older ones show a demand that has moved on. */
const maximumWindows = 6;

export const createLoadSamples = (ranks: number): LoadSamples => {
    let histories: CountReading[][] = Array.from({ length: ranks }, () => []);

    /** Counts of a rank at `step`, between the two readings around it. */
    const interpolatedCounts = (history: CountReading[], step: number): number[] | undefined => {
        const nextIndex = history.findIndex(reading => reading.step >= step);
        const nextReading = history[nextIndex];
        const previousReading = history[nextIndex - 1];
        if (nextReading === undefined) {
            return undefined;
        }
        if (nextReading.step === step || previousReading === undefined) {
            return nextReading.step === step ? nextReading.counts : undefined;
        }
        const fraction = (step - previousReading.step) / (nextReading.step - previousReading.step);
        return nextReading.counts.map((count, index) =>
            (previousReading.counts[index] ?? 0) + (count - (previousReading.counts[index] ?? 0)) * fraction
        );
    };

    return {
        add: counts => {
            const history = histories[counts.rank];
            const last = history?.at(-1);
            if (history === undefined || last !== undefined && last.step >= counts.step) {
                return;
            }
            history.push(counts);
            const oldest = counts.step - (maximumWindows + 2) * windowSteps;
            while ((history[1]?.step ?? Infinity) < oldest) {
                history.shift();
            }
        },
        samples: () => {
            const newest = Math.min(...histories.map(history => history.at(-1)?.step ?? -1));
            const samples: number[][] = [];
            for (let end = newest; end - windowSteps >= 0 && samples.length < maximumWindows; end -= windowSteps) {
                const windowCounts: number[] = [];
                for (const history of histories) {
                    const startCounts = interpolatedCounts(history, end - windowSteps);
                    const endCounts = interpolatedCounts(history, end);
                    if (startCounts === undefined || endCounts === undefined) {
                        return samples.reverse();
                    }
                    endCounts.forEach((count, index) => {
                        windowCounts[index] = (windowCounts[index] ?? 0)
                            + Math.max(0, count - (startCounts[index] ?? 0));
                    });
                }
                if (windowCounts.some(value => value > 0)) {
                    samples.push(windowCounts);
                }
            }
            return samples.reverse();
        },
        clear: () => {
            histories = Array.from({ length: ranks }, () => []);
        },
    };
};
