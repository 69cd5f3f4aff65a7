/**
 * `cyclamengap zone`: takes availability zones out of and into service.
 */
import { defineCommand } from "citty";
import { v7 as newId } from "uuid";
import type { ZoneState } from "../../coordination/zoneOrders.js";
import { editFrom } from "../../state/settingsStateMachine.js";
import { effectiveValues, nodeAt } from "../../state/settingsTree.js";
import type { SettingsChange } from "../../state/types.js";
import { orderZone } from "../../transport/operatorClient.js";
import { changeArguments, exitStatus, fail, interruptSignal } from "./commandSupport.js";
import { loadOperatorToken, loadSettings, openSettings, print } from "./commandSupport.js";
import { submitChange } from "./submit.js";

const orderWithoutLog = async (name: string, state: ZoneState, addresses: string[]): Promise<void> => {
    const token = loadOperatorToken();
    if (token === undefined) {
        return;
    }
    const signal = interruptSignal();
    const orderOne = async (address: string): Promise<void> => {
        const result = await orderZone(address, token, name, state, signal);
        result.match(
            ({ revision }) => print(`daemon "${address}": zone "${name}" is ${state}, overriding revision ${revision}`),
            reason => fail(exitStatus.undetermined, `daemon "${address}": ${reason}`),
        );
    };
    await Promise.all(addresses.map(orderOne));
};

const zoneCommand = (state: ZoneState) =>
    defineCommand({
        meta: { name: state, description: `set an availability zone to "${state}"` },
        args: {
            ...changeArguments,
            name: { type: "positional", required: true, description: "name of the availability zone" },
            again: {
                type: "boolean",
                default: false,
                description: "append the change even if the settings already have this state",
            },
            direct: {
                type: "string",
                description: "ip:port,… of daemons to send the order to directly, without the log",
            },
        },
        run: async ({ args }) => {
            const { name, author, comment, direct } = args;
            if (direct !== undefined) {
                await orderWithoutLog(name, state, direct.split(",").filter(address => address !== ""));
                return;
            }
            const signal = interruptSignal();
            const stream = openSettings(args.platform);
            const reading = await loadSettings(stream, signal);
            if (reading === undefined) {
                return;
            }
            const path = `availabilityZones/${name}`;
            if ((effectiveValues(reading.state, path)["state"] ?? "in") === state && !args.again) {
                print(`nothing to change: zone "${name}" is ${state} at offset ${reading.state.offset}`);
                return;
            }
            const edit = editFrom(reading.state, path, { ...nodeAt(reading.state, path), state });
            const change: SettingsChange = { kind: "change", id: newId(), author, comment, edits: [edit] };
            await submitChange(change, stream, args["timeout-seconds"], signal);
        },
    });

export const zone = defineCommand({
    meta: { name: "zone", description: "take availability zones out of and into service" },
    subCommands: { out: zoneCommand("out"), in: zoneCommand("in") },
});
