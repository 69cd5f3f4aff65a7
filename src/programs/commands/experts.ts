/**
 * `cyclamengap experts plan`: shows the current expert map of a group, the map that the planner would commit next, and
 * why.
 *
 * The load estimate is held by the agent that is the coordinator, so the command fetches the state dumps of the group's
 * agents and plans with the first one that contains an estimate. It changes nothing.
 */
import { defineCommand } from "citty";
import { type PlacementPlan, planPlacement } from "../../coordination/mapPlanner.js";
import { decodeJson } from "../../protocol/decoding.js";
import { type GroupSettings, groupSettings } from "../../protocol/settingsSchema.js";
import { type ExpertMap, type GroupLoad, uniformMap } from "../../state/expertMap.js";
import { readHostList } from "../../transport/hostListClient.js";
import { fetchDump } from "../../transport/operatorClient.js";
import { placementSettingsOf } from "../../transport/rankMapService.js";
import {
    exitStatus,
    fail,
    interruptSignal,
    loadOperatorToken,
    loadSettings,
    openSettings,
    platformArgument,
    print,
} from "./commandSupport.js";

type GroupPlanningInput = { present?: ExpertMap; load: GroupLoad; newestCommit: number; };

const bytesPerMegabyte = 1e6;

/** Finds the planning input in the first state dump of the group's agents that has a load estimate. */
const findPlanningInput = async (
    platform: string,
    group: string,
    token: string,
    signal: AbortSignal,
): Promise<GroupPlanningInput | undefined> => {
    const list = await readHostList(platform, signal);
    const hosts = list.map(({ hosts: all }) => all).unwrapOr([]);
    for (const { serves, address } of hosts) {
        if (serves?.kind !== "group" || serves.group !== group) {
            continue;
        }
        const text = await fetchDump(address, token, signal);
        const dump = text.andThen(json => decodeJson(json).mapErr(() => "not JSON")).unwrapOr(undefined);
        const planningInput = (dump as { expertMaps?: Partial<GroupPlanningInput>; } | undefined)?.expertMaps;
        if (planningInput?.load !== undefined) {
            return planningInput as GroupPlanningInput;
        }
    }
    return undefined;
};

const describeLayer = ({ layer, skewNow, skewWithShares, skewPlanned }: PlacementPlan["layerSkews"][number]): string =>
    `layer ${layer}: skew ${skewNow.toFixed(3)}, with levelled shares ${skewWithShares.toFixed(3)}, `
    + `planned ${skewPlanned.toFixed(3)}`;

/** Formats a plan, with one line per changed layer and one line per move with its reason. */
const describePlan = (commit: number, plan: PlacementPlan, group: GroupSettings): string[] => {
    const changed = plan.layerSkews.filter(({ skewNow, skewPlanned }) => skewNow - skewPlanned > 1e-3);
    const moves = plan.moves.map(({ layer, rank, expert, replaces }) => {
        const place = replaces === undefined ? "into an empty slot" : `in place of expert ${replaces}`;
        return `layer ${layer}: rank ${rank} loads expert ${expert} ${place}, since the layer's skew with levelled `
            + `shares alone is ${plan.layerSkews[layer]?.skewWithShares.toFixed(3)}`;
    });
    const spareSlots = group.ranks * group.slotsPerRank - group.expertsPerLayer;
    return [
        `present map: ${commit < 0 ? "the initial map" : `commit ${commit}`}, predicted skew ${
            plan.skewNow.toFixed(3)
        }`,
        `planned: ${plan.kind}, predicted skew ${plan.skewPlanned.toFixed(3)}, ${plan.moves.length} moves, `
        + `${(plan.bytes / bytesPerMegabyte).toFixed(1)} MB, ${plan.transferSeconds.toFixed(1)} s of transfers`,
        ...(spareSlots < group.ranks
            ? [`slots: ${spareSlots} spare for ${group.ranks} ranks; hot experts need at least one spare slot a rank`]
            : []),
        ...changed.map(describeLayer),
        ...moves,
    ];
};

const planCommand = defineCommand({
    meta: { name: "plan", description: "show the current and the planned expert map of a group" },
    args: {
        ...platformArgument,
        group: { type: "string", required: true, description: "name of the group" },
    },
    run: async ({ args }) => {
        const token = loadOperatorToken();
        if (token === undefined) {
            return;
        }
        const signal = interruptSignal();
        const reading = await loadSettings(openSettings(args.platform), signal);
        if (reading === undefined) {
            return;
        }
        const settings = groupSettings(reading.state, args.group);
        if (settings.isErr()) {
            fail(exitStatus.rejected, `group "${args.group}" does not exist or its settings are invalid`);
            return;
        }
        const planningInput = await findPlanningInput(args.platform, args.group, token, signal);
        if (planningInput === undefined) {
            fail(exitStatus.undetermined, `no agent of group "${args.group}" has a load estimate`);
            return;
        }
        const { ranks, layers, expertsPerLayer: experts, slotsPerRank } = settings.value;
        const present = planningInput.present ?? uniformMap({ ranks, layers, experts, slotsPerRank });
        const plan = planPlacement(present, planningInput.load, placementSettingsOf(settings.value));
        print(...describePlan(planningInput.newestCommit, plan, settings.value));
    },
});

export const experts = defineCommand({
    meta: { name: "experts", description: "expert maps of the groups" },
    subCommands: { plan: planCommand },
});
