/**
 * The parts by which an entry routes requests by cost: estimates, outstanding work and the engines' profiles.
 */
import type { EngineProfile } from "../../state/ingressTypes.js";
import type { DeploymentState } from "./deploymentState.js";
import { createOutstandingWork, type OutstandingWorkTable } from "./outstandingWork.js";
import type { PeerStatusTable } from "./peerStatusTable.js";
import { createRequestCosts, type RequestCosts, type RequestCostsOptions } from "./requestCosts.js";

export type CostRouting = {
    work: OutstandingWorkTable;
    costs: RequestCosts;
    profileOf: (service: string) => EngineProfile | undefined;
};

export const createCostRouting = (
    options: Omit<RequestCostsOptions, "profileOf"> & {
        state: Pick<DeploymentState, "routeTable">;
        peerStatuses: Pick<PeerStatusTable, "workOn">;
    },
): CostRouting => {
    const profileOf = (service: string): EngineProfile | undefined =>
        options.state.routeTable()?.configuration.services.find(({ name }) => name === service)?.engine;
    return {
        work: createOutstandingWork(options.clock, options.peerStatuses.workOn),
        costs: createRequestCosts({ ...options, profileOf }),
        profileOf,
    };
};
