/**
 * Log lines of the ingress, within a budget.
 *
 * Under load a line for each decision could cost more than the request. Each kind of line may use up a number a second;
 * what goes beyond is counted and told once a second. Failures have a budget of their own, so successes can't push them
 * out.
 */
import type { Clock } from "../../state/types.js";

export type LogFields = Record<string, unknown>;
export type LogLineKind = "request" | "failure" | "belief" | "dependency";

export type IngressLog = {
    /** A decision about one request. */
    request: (requestId: string, event: string, fields: LogFields) => void;
    /** A request that was refused or failed. */
    failure: (requestId: string, event: string, fields: LogFields) => void;
    /** A change of what the process takes to be true. */
    stateChange: (event: string, fields: LogFields) => void;
    /** A dependency lost or regained. */
    dependency: (name: string, state: "lost" | "regained", fields: LogFields) => void;
};

/** Lines a second of each kind: about twice what an entry of the sites writes at its usual load. */
export const maximumLinesPerSecond: Record<LogLineKind, number> = {
    request: 60,
    failure: 60,
    belief: 40,
    dependency: 20,
};

const windowMilliseconds = 1_000;

export const createIngressLog = (
    write: (event: string, fields: LogFields) => void,
    clock: Pick<Clock, "now">,
): IngressLog => {
    let windowStart = clock.now();
    const written = new Map<LogLineKind, number>();
    const dropped = new Map<LogLineKind, number>();

    const startWindow = (): void => {
        if (dropped.size > 0) {
            write("log lines dropped", Object.fromEntries(dropped));
        }
        written.clear();
        dropped.clear();
        windowStart = clock.now();
    };

    const writeWithinBudget = (kind: LogLineKind, event: string, fields: LogFields): void => {
        if (clock.now() - windowStart >= windowMilliseconds) {
            startWindow();
        }
        const count = written.get(kind) ?? 0;
        if (count >= maximumLinesPerSecond[kind]) {
            dropped.set(kind, (dropped.get(kind) ?? 0) + 1);
            return;
        }
        written.set(kind, count + 1);
        write(event, fields);
    };

    return {
        request: (requestId, event, fields) => writeWithinBudget("request", event, { requestId, ...fields }),
        failure: (requestId, event, fields) => writeWithinBudget("failure", event, { requestId, ...fields }),
        stateChange: (event, fields) => writeWithinBudget("belief", event, fields),
        dependency: (dependency, state, fields) =>
            writeWithinBudget("dependency", `dependency ${state}`, { dependency, state, ...fields }),
    };
};
