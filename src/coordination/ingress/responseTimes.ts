/**
 * How long upstreams take to respond, as far as one entry has seen it lately.
 *
 * Answers upstreams that were slow for a while, or that answered first by chance: what was seen loses weight, an upstream
 * with few recent responses counts as an average one, and estimates vary by chance the more, the fewer responses they
 * rest on. So each is tried again sometimes, and one that stays slow costs few requests.
 */
import type { Clock, RandomNumber } from "../../state/types.js";
import { keyOfRun, type UpstreamRun } from "./upstreamRun.js";

export type ResponseTimes = {
    /** `relativeCost`: expected work of the request, as a multiple of that of the mean request. */
    record: (upstream: UpstreamRun, milliseconds: number, relativeCost?: number) => void;
    /** A plausible response time of each of these upstreams, which serve alike; in their order. */
    estimate: (upstreams: readonly UpstreamRun[]) => number[];
};

/** Used until there is any response; about the time that one request takes in the deployments in use. */
const assumedMilliseconds = 60;
const assumedWeight = 0.1;
/**
 * A response loses half of its weight in this time, but not before as many others: an entry with few requests remembers
 * for longer, so that trying a slow upstream costs it no larger a share of them.
 */
const halfLifeMilliseconds = 700;
const halfLifeResponses = 16;
/** Weight of the average of all upstreams in the estimate for one, in responses. */
const averageWeight = 1;
/** How far an estimate that rests on no response may vary. */
const variation = 0.5;
/** More than the upstreams of the largest deployment in use. */
const maximumRuns = 1_000;

/** Sum and number of responses, aged up to `at`, when the entry had had `responses` in all. */
type Observed = { total: number; weight: number; at: number; responses: number; };

export const createResponseTimes = (clock: Pick<Clock, "now">, random: RandomNumber): ResponseTimes => {
    const observedByRun = new Map<string, Observed>();
    let responses = 0;

    const observedOf = (upstream: UpstreamRun): Observed => {
        const known = observedByRun.get(keyOfRun(upstream));
        if (known === undefined) {
            return { total: 0, weight: 0, at: clock.now(), responses };
        }
        const halfLives = Math.min(
            (clock.now() - known.at) / halfLifeMilliseconds,
            (responses - known.responses) / halfLifeResponses,
        );
        const remaining = 0.5 ** halfLives;
        return { total: known.total * remaining, weight: known.weight * remaining, at: clock.now(), responses };
    };

    return {
        record: (upstream, milliseconds, relativeCost = 1) => {
            responses += 1;
            const { total, weight, at } = observedOf(upstream);
            const key = keyOfRun(upstream);
            observedByRun.delete(key);
            observedByRun.set(key, { total: total + milliseconds, weight: weight + relativeCost, at, responses });
            const [oldest] = observedByRun.keys();
            if (observedByRun.size > maximumRuns && oldest !== undefined) {
                observedByRun.delete(oldest);
            }
        },
        estimate: upstreams => {
            const observed = upstreams.map(observedOf);
            const total = observed.reduce((sum, one) => sum + one.total, assumedMilliseconds * assumedWeight);
            const weight = observed.reduce((sum, one) => sum + one.weight, assumedWeight);
            const average = total / weight;
            return observed.map(one => {
                const expected = (one.total + average * averageWeight) / (one.weight + averageWeight);
                return expected * (1 + variation * (2 * random() - 1) / Math.sqrt(one.weight + 1));
            });
        },
    };
};
