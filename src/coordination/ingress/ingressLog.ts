/**
 * Rate-limited log of the ingress.
 *
 * Under load, a line for each decision could cost more than the request itself. Each kind of line has its own budget
 * per second; lines beyond it are dropped, and their number is logged at most once a second. Failures have their own
 * budget, so that successful requests can't displace them.
 */
import type { Clock } from "../../state/types.js";

export type LogFields = Record<string, unknown>;
export type LogLineKind = "request" | "failure" | "belief" | "dependency";

export type IngressLog = {
    /** A decision about one request. */
    request: (requestId: string, event: string, fields: LogFields) => void;
    /** A request that was refused or failed. */
    failure: (requestId: string, event: string, fields: LogFields) => void;
    /** A change in the entry's view of the deployment; counted as `belief` among dropped lines. */
    stateChange: (event: string, fields: LogFields) => void;
    /** A dependency that was lost or regained. */
    dependency: (name: string, state: "lost" | "regained", fields: LogFields) => void;
};

/** About twice what an entry of the deployments in use writes under its usual load. */
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
