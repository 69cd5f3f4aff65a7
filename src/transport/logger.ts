/**
 * Structured logs: one JSON object a line on standard output, by winston.
 *
 * A line names its request, client account, attempt and outcome, and never holds prompt text, bodies or secrets: callers
 * pass the fields they mean to write, and nothing is logged wholesale.
 */
import winston from "winston";

export type Logger = {
    info: (event: string, fields?: Record<string, unknown>) => void;
    warn: (event: string, fields?: Record<string, unknown>) => void;
    error: (event: string, fields?: Record<string, unknown>) => void;
    debug: (event: string, fields?: Record<string, unknown>) => void;
};

/** A logger whose every line carries `identity` (host, availability zone, role). */
export const createLogger = (level: string, identity: Record<string, string>): Logger => {
    const logger = winston.createLogger({
        level,
        defaultMeta: identity,
        format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
        transports: [new winston.transports.Console()],
    });
    const write = (severity: "info" | "warn" | "error" | "debug") => (event: string, fields = {}): void => {
        // Winston formats a line before it drops it for its level.
        if (logger.isLevelEnabled(severity)) {
            logger.log(severity, { message: event, event, ...fields });
        }
    };
    return { info: write("info"), warn: write("warn"), error: write("error"), debug: write("debug") };
};
