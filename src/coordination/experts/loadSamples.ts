/**
 * Samples of the load that individual steps put on the experts of a group.
 *
 * A step holds few requests, each with its own set of experts, so a map that suits the sum over seconds can still leave
 * every step uneven. Each rank reports its cumulative counts together with its last step. Between two readings the
 * counts are interpolated linearly, which aligns all ranks to common windows of a few steps. Each window is one sample.
 */

export type CountReading = { rank: number; step: number; counts: number[]; };

export type LoadSamples = {
    add: (counts: CountReading) => void;
    /** Latest windows, newest last. Each holds the tokens of all ranks by layer and expert, in one array. */
    samples: () => number[][];
    clear: () => void;
};

/** Steps per window. A stream lasts about 26 steps, so a window is representative of the next steps. */
const windowSteps = 4;
/**
 * Number of windows. They cover less than two seconds at the step rate of the deployments; older ones show outdated
 * demand.
 */
const maximumWindows = 6;

export const createLoadSamples = (ranks: number): LoadSamples => {
    let histories: CountReading[][] = Array.from({ length: ranks }, () => []);

    /** Counts of a rank at `step`, interpolated between the readings around it. */
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
        add: reading => {
            const history = histories[reading.rank];
            const last = history?.at(-1);
            if (history === undefined || last !== undefined && last.step >= reading.step) {
                return;
            }
            history.push(reading);
            const oldest = reading.step - (maximumWindows + 2) * windowSteps;
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
