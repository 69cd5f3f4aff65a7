/**
 * Structured logging with winston: one JSON object per line on standard output.
 *
 * Lines name the request, client account, attempt and outcome, and never contain prompts, bodies or secrets: callers
 * pass each field explicitly, and no object is logged as a whole.
 */
import winston from "winston";

export type Logger = {
    info: (event: string, fields?: Record<string, unknown>) => void;
    warn: (event: string, fields?: Record<string, unknown>) => void;
    error: (event: string, fields?: Record<string, unknown>) => void;
    debug: (event: string, fields?: Record<string, unknown>) => void;
};

/** Creates a logger that adds `identity` (host, availability zone, role) to every line. */
export const createLogger = (level: string, identity: Record<string, string>): Logger => {
    const logger = winston.createLogger({
        level,
        defaultMeta: identity,
        format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
        transports: [new winston.transports.Console()],
    });
    const write = (severity: "info" | "warn" | "error" | "debug") => (event: string, fields = {}): void => {
        // Winston formats a line before it discards it because of its level.
        if (logger.isLevelEnabled(severity)) {
            logger.log(severity, { message: event, event, ...fields });
        }
    };
    return { info: write("info"), warn: write("warn"), error: write("error"), debug: write("debug") };
};
