/**
 * Limits that upstreams state in their responses: how many requests one takes a second from all entries together.
 *
 * A limit belongs to a run of its upstream. The latest statement counts, whichever entry received it: entries tell each
 * other of changes, and the entry that decides on an upstream's requests repeats its limit for those that missed them. A
 * response without a limit ends it, unless its request was sent before the limit was last stated.
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../../state/types.js";
import type { IngressLog } from "./ingressLog.js";
import { keyOfRun, type UpstreamRun } from "./upstreamRun.js";

/** What an upstream stated last, as entries tell each other. */
export type LimitStatement = {
    /** Start time of the run, in milliseconds since the Unix epoch. */
    bornAt: number;
    /** Undefined once the upstream states no limit any more. */
    requestsPerSecond?: number | undefined;
    /** Age of the response that states it. */
    ageMilliseconds: number;
};

export type StatedLimits = {
    /** Records the limit in a response, in requests a second as the upstream states it. */
    record: (upstream: UpstreamRun, statedLimit: string) => void;
    /** Records that an upstream stated no limit in a response to a request sent at `sentAt`. */
    recordNone: (upstream: UpstreamRun, sentAt: number) => void;
    /** Adds what another entry told, by upstream id. */
    merge: (statements: Record<string, LimitStatement>) => void;
    /** Requests a second that the upstream takes from all entries together; undefined if it states no limit. */
    limitOf: (upstream: UpstreamRun) => number | undefined;
    /** What is known of the upstream; undefined if it never stated a limit. */
    statementOf: (upstream: UpstreamRun) => LimitStatement | undefined;
    /** Changes that this entry learned from responses lately, by upstream id. */
    recentChanges: () => Record<string, LimitStatement>;
    /** The limits in force, by upstream id. */
    limits: () => Record<string, number>;
};

type Statement = UpstreamRun & {
    requestsPerSecond: number | undefined;
    statedAt: number;
    /** When this entry learned of the change from a response; undefined if another entry told it. */
    changedAt: number | undefined;
};

/** More than the upstreams of the largest deployment in use. */
const maximumRememberedRuns = 1_000;
/** Several messages in a row may be lost. */
const recentMilliseconds = 3_000;

const parseLimit = (statedLimit: string): Result<number, string> => {
    const requestsPerSecond = Number(statedLimit);
    return statedLimit.trim() === "" || !Number.isFinite(requestsPerSecond) || requestsPerSecond < 0
        ? err(`"${statedLimit}" is not a number of requests a second`)
        : ok(requestsPerSecond);
};

export const createStatedLimits = (clock: Pick<Clock, "now">, log: IngressLog): StatedLimits => {
    /** The least recently changed first. */
    const statements = new Map<string, Statement>();

    const dropOldest = (): void => {
        const [oldest] = statements.keys();
        if (statements.size > maximumRememberedRuns && oldest !== undefined) {
            statements.delete(oldest);
        }
    };

    const update = (
        { id, bornAt }: UpstreamRun,
        { requestsPerSecond, statedAt, changedAt }: Omit<Statement, keyof UpstreamRun>,
        source: string,
    ): void => {
        const key = keyOfRun({ id, bornAt });
        const known = statements.get(key);
        if (known !== undefined && known.requestsPerSecond === requestsPerSecond) {
            known.statedAt = Math.max(known.statedAt, statedAt);
            return;
        }
        statements.delete(key);
        statements.set(key, { id, bornAt, requestsPerSecond, statedAt, changedAt });
        dropOldest();
        log.stateChange(requestsPerSecond === undefined ? "upstream limit ended" : "upstream states a limit", {
            id,
            requestsPerSecond,
            previous: known?.requestsPerSecond,
            source,
        });
    };

    const updateFromResponse = (upstream: UpstreamRun, requestsPerSecond: number | undefined): void =>
        update(upstream, { requestsPerSecond, statedAt: clock.now(), changedAt: clock.now() }, "its response");

    const toStatement = ({ bornAt, requestsPerSecond, statedAt }: Statement): LimitStatement => ({
        bornAt,
        requestsPerSecond,
        ageMilliseconds: Math.round(clock.now() - statedAt),
    });

    return {
        record: (upstream, statedLimit) =>
            parseLimit(statedLimit).match(
                requestsPerSecond => updateFromResponse(upstream, requestsPerSecond),
                reason => log.stateChange("limit ignored", { id: upstream.id, reason }),
            ),
        recordNone: (upstream, sentAt) => {
            const known = statements.get(keyOfRun(upstream));
            if (known?.requestsPerSecond !== undefined && sentAt > known.statedAt) {
                updateFromResponse(upstream, undefined);
            }
        },
        merge: told => {
            for (const [id, { bornAt, requestsPerSecond, ageMilliseconds }] of Object.entries(told)) {
                const statedAt = clock.now() - ageMilliseconds;
                const known = statements.get(keyOfRun({ id, bornAt }));
                const isNews = known === undefined ? requestsPerSecond !== undefined : statedAt > known.statedAt;
                if (isNews) {
                    update({ id, bornAt }, { requestsPerSecond, statedAt, changedAt: undefined }, "another entry");
                }
            }
        },
        limitOf: upstream => statements.get(keyOfRun(upstream))?.requestsPerSecond,
        statementOf: upstream => {
            const known = statements.get(keyOfRun(upstream));
            return known === undefined ? undefined : toStatement(known);
        },
        recentChanges: () => {
            const since = clock.now() - recentMilliseconds;
            const changed = [...statements.values()].filter(({ changedAt }) => (changedAt ?? -Infinity) >= since);
            return Object.fromEntries(changed.map(statement => [statement.id, toStatement(statement)]));
        },
        limits: () =>
            Object.fromEntries(
                [...statements.values()].flatMap(({ id, requestsPerSecond }) =>
                    requestsPerSecond === undefined ? [] : [[id, requestsPerSecond]]
                ),
            ),
    };
};
