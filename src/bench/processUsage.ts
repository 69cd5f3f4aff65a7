/** Processor time and memory of running processes, read from /proc. */
import { readFile } from "node:fs/promises";

/** Resource usage of one process; the processor time counts from its start. */
export type ProcessUsage = { processorMilliseconds: number; residentMegabytes: number; };

/** Duration of one clock tick (USER_HZ) in /proc/<pid>/stat on Linux. */
const tickMilliseconds = 10;
const kilobytesPerMegabyte = 1_024;
/** Positions of the fields in /proc/<pid>/stat after the closing parenthesis of the command name. */
const userTimeField = 11;
const systemTimeField = 12;

/** Reads the usage of the process `pid`; `undefined` if it cannot be read, such as after the process has ended. */
export const readUsage = async (pid: number): Promise<ProcessUsage | undefined> => {
    try {
        const stat = await readFile(`/proc/${pid}/stat`, "utf8");
        const status = await readFile(`/proc/${pid}/status`, "utf8");
        const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
        const ticks = Number(fields[userTimeField]) + Number(fields[systemTimeField]);
        const resident = /VmRSS:\s+(\d+) kB/.exec(status)?.[1];
        return {
            processorMilliseconds: ticks * tickMilliseconds,
            residentMegabytes: Number(resident ?? 0) / kilobytesPerMegabyte,
        };
    }
    catch {
        return undefined;
    }
};

/** Average fraction of one core that each process used between two readings `seconds` apart. */
export const coreShares = (before: readonly (ProcessUsage | undefined)[], after: typeof before, seconds: number) =>
    after.map((usage, index) =>
        ((usage?.processorMilliseconds ?? 0) - (before[index]?.processorMilliseconds ?? 0)) / (seconds * 1_000)
    );
