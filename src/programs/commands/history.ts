/**
 * `cyclamengap settings history`: lists the settings changes that the log still holds, with the outcome of each.
 */
import { defineCommand } from "citty";
import type { SettingsHistory } from "../../coordination/settingsChange.js";
import type { SettingsChange } from "../../state/types.js";
import { interruptSignal, loadSettings, openSettings, platformArgument, print } from "./commandSupport.js";

type HistoryStep = SettingsHistory["steps"][number];

const describeChange = (change: SettingsChange): string => {
    const paths = change.edits.map(({ path, value }) => `${value === undefined ? "-" : ""}"${path}"`).join(", ");
    return `${change.author}: ${paths}${change.comment === "" ? "" : `  # ${change.comment}`}  (change ${change.id})`;
};

const describeStep = ({ record, verdict }: HistoryStep): string[] => {
    const head = `${record.offset}  ${new Date(record.appendedAt).toISOString()}  ${verdict.kind}`;
    switch (verdict.kind) {
        case "accepted":
            return [`${head}  ${describeChange(verdict.change)}`];
        case "conflict":
            return [
                `${head}  ${describeChange(verdict.change)}`,
                ...verdict.conflicts.map(({ path, winningOffset }) => `    "${path}": offset ${winningOffset} won`),
            ];
        case "snapshot":
            return [`${head}  up to offset ${verdict.upToOffset}`];
        default:
            return [head];
    }
};

export const history = defineCommand({
    meta: { name: "history", description: "list the changes that the log still holds, with their outcomes" },
    args: platformArgument,
    run: async ({ args }) => {
        const reading = await loadSettings(openSettings(args.platform), interruptSignal());
        if (reading !== undefined) {
            // Records that are included in the snapshot from which reading started have no verdict of their own.
            const steps = reading.steps.filter(({ verdict }) => verdict.kind !== "repeated");
            print(...steps.flatMap(describeStep));
        }
    },
});
