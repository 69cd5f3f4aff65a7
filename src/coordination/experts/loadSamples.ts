/**
 * Samples of the load that single passes put on a group's experts.
 *
 * A pass holds few requests, each with experts of its own, so a map that suits the sum over seconds can still leave
 * every pass uneven. Each rank tells its counts since its start together with its last pass; between two of them the
 * counts are taken to grow evenly, which puts all ranks on common windows of a few passes. One window is one sample.
 */

export type RankCounts = { rank: number; step: number; counts: number[]; };

export type LoadSamples = {
    take: (counts: RankCounts) => void;
    /** The latest windows, newest last: for each the tokens of all ranks by layer and expert, in one row. */
    samples: () => number[][];
    clear: () => void;
};

/** Passes of one window; a stream lasts about 26, so a window sees what the next passes will hold. */
const windowSteps = 4;
/** Windows kept, under two seconds of passes at the pace of the sites: older ones show a demand that has moved on. */
const largestWindows = 6;

export const createLoadSamples = (ranks: number): LoadSamples => {
    let histories: RankCounts[][] = Array.from({ length: ranks }, () => []);

    /** Counts of a rank at `step`, between the two readings around it. */
    const countsAt = (history: RankCounts[], step: number): number[] | undefined => {
        const after = history.findIndex(reading => reading.step >= step);
        const right = history[after];
        const left = history[after - 1];
        if (right === undefined) {
            return undefined;
        }
        if (right.step === step || left === undefined) {
            return right.step === step ? right.counts : undefined;
        }
        const share = (step - left.step) / (right.step - left.step);
        return right.counts.map((count, index) =>
            (left.counts[index] ?? 0) + (count - (left.counts[index] ?? 0)) * share
        );
    };

    return {
        take: counts => {
            const history = histories[counts.rank];
            const last = history?.at(-1);
            if (history === undefined || last !== undefined && last.step >= counts.step) {
                return;
            }
            history.push(counts);
            const oldest = counts.step - (largestWindows + 2) * windowSteps;
            while ((history[1]?.step ?? Infinity) < oldest) {
                history.shift();
            }
        },
        samples: () => {
            const newest = Math.min(...histories.map(history => history.at(-1)?.step ?? -1));
            const samples: number[][] = [];
            for (let end = newest; end - windowSteps >= 0 && samples.length < largestWindows; end -= windowSteps) {
                const sums: number[] = [];
                for (const history of histories) {
                    const from = countsAt(history, end - windowSteps);
                    const to = countsAt(history, end);
                    if (from === undefined || to === undefined) {
                        return samples.reverse();
                    }
                    to.forEach((count, index) => {
                        sums[index] = (sums[index] ?? 0) + Math.max(0, count - (from[index] ?? 0));
                    });
                }
                if (sums.some(value => value > 0)) {
                    samples.push(sums);
                }
            }
            return samples.reverse();
        },
        clear: () => {
            histories = Array.from({ length: ranks }, () => []);
        },
    };
};
