/**
 * Limits that upstreams state in their responses: how many requests one takes a second from all entries together.
 *
 * A limit belongs to a run of its upstream. The latest statement counts, and a response without one ends it, unless its
 * request was sent before the limit was last stated.
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../../state/types.js";
import type { IngressLog } from "./ingressLog.js";
import { keyOfRun, type UpstreamRun } from "./upstreamRun.js";

export type StatedLimits = {
    /** Records the limit in a response, in requests a second as the upstream states it. */
    record: (upstream: UpstreamRun, statedLimit: string) => void;
    /** Records that an upstream stated no limit in a response to a request sent at `sentAt`. */
    recordNone: (upstream: UpstreamRun, sentAt: number) => void;
    /** Requests a second that the upstream takes from all entries together; undefined if it states no limit. */
    limitOf: (upstream: UpstreamRun) => number | undefined;
    /** The limits in force, by upstream id. */
    limits: () => Record<string, number>;
};

type Statement = UpstreamRun & {
    /** Undefined once the upstream states no limit any more. */
    requestsPerSecond: number | undefined;
    statedAt: number;
};

/** More than the upstreams of the largest deployment in use. */
const maximumRememberedRuns = 1_000;

const parseLimit = (statedLimit: string): Result<number, string> => {
    const requestsPerSecond = Number(statedLimit);
    return statedLimit.trim() === "" || !Number.isFinite(requestsPerSecond) || requestsPerSecond < 0
        ? err(`"${statedLimit}" is not a number of requests a second`)
        : ok(requestsPerSecond);
};

export const createStatedLimits = (clock: Pick<Clock, "now">, log: IngressLog): StatedLimits => {
    /** The least recently changed first. */
    const statements = new Map<string, Statement>();

    const remember = (key: string, statement: Statement): void => {
        statements.delete(key);
        statements.set(key, statement);
        const [oldest] = statements.keys();
        if (statements.size > maximumRememberedRuns && oldest !== undefined) {
            statements.delete(oldest);
        }
    };

    const state = ({ id, bornAt }: UpstreamRun, requestsPerSecond: number | undefined, statedAt: number): void => {
        const key = keyOfRun({ id, bornAt });
        const known = statements.get(key);
        if (known?.requestsPerSecond === requestsPerSecond) {
            if (known !== undefined) {
                known.statedAt = Math.max(known.statedAt, statedAt);
            }
            return;
        }
        remember(key, { id, bornAt, requestsPerSecond, statedAt });
        log.stateChange(requestsPerSecond === undefined ? "upstream limit ended" : "upstream states a limit", {
            id,
            requestsPerSecond,
            previous: known?.requestsPerSecond,
        });
    };

    return {
        record: (upstream, statedLimit) =>
            parseLimit(statedLimit).match(
                requestsPerSecond => state(upstream, requestsPerSecond, clock.now()),
                reason => log.stateChange("limit ignored", { id: upstream.id, reason }),
            ),
        recordNone: (upstream, sentAt) => {
            const known = statements.get(keyOfRun(upstream));
            if (known?.requestsPerSecond !== undefined && sentAt > known.statedAt) {
                state(upstream, undefined, clock.now());
            }
        },
        limitOf: upstream => statements.get(keyOfRun(upstream))?.requestsPerSecond,
        limits: () =>
            Object.fromEntries(
                [...statements.values()].flatMap(({ id, requestsPerSecond }) =>
                    requestsPerSecond === undefined ? [] : [[id, requestsPerSecond]]
                ),
            ),
    };
};
