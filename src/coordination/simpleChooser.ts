/**
 * Chooses the live upstream with the fewest requests of this entry, own availability zone first.
 */
import { err, ok, type Result } from "neverthrow";
import { type Refusal, refusal } from "../state/errors.js";
import type { HostRecord, Serves } from "../state/types.js";
import type { Choice, UpstreamChooser } from "./upstreamChooser.js";

export type ChooserView = {
    availabilityZone: string;
    hosts: () => HostRecord[];
    groupsOfModel: (model: string) => string[];
    isZoneOut: (availabilityZone: string) => boolean;
};

const comeBackSeconds = 1;

export const createSimpleChooser = (view: ChooserView): UpstreamChooser => {
    const inFlight = new Map<string, number>();

    const choose = (
        target: string,
        serves: (serves: Serves) => boolean,
        avoided: ReadonlySet<string>,
    ): Result<Choice, Refusal> => {
        const cost = (host: HostRecord): number =>
            (avoided.has(host.host) ? 1e6 : 0)
            + (host.availabilityZone === view.availabilityZone ? 0 : 1e3)
            + (inFlight.get(host.host) ?? 0);
        const [upstream] = view.hosts()
            .filter(host => host.state === "live" && host.serves !== undefined && serves(host.serves))
            .filter(host => !view.isZoneOut(host.availabilityZone))
            .sort((left, right) => cost(left) - cost(right));
        if (upstream === undefined) {
            return err(refusal("no-upstream", [target], comeBackSeconds));
        }
        inFlight.set(upstream.host, (inFlight.get(upstream.host) ?? 0) + 1);
        return ok({
            upstream,
            finish: () => void inFlight.set(upstream.host, (inFlight.get(upstream.host) ?? 1) - 1),
        });
    };

    return {
        chooseForModel: (work, avoided) => {
            const groups = view.groupsOfModel(work.model);
            return choose(work.model, serves => serves.kind === "group" && groups.includes(serves.group), avoided);
        },
        chooseForService: (work, avoided) =>
            choose(work.service, serves => serves.kind === "service" && serves.service === work.service, avoided),
    };
};
