/**
 * Creates an upstream as the platform lists it, with defaults for the fields that a test doesn't set.
 */
import type { Upstream } from "../../src/state/ingressTypes.js";

export const listedUpstream = (fields: Partial<Upstream>): Upstream => ({
    id: "u",
    service: "model",
    address: "10.0.0.1:1",
    availabilityZone: "medina",
    slots: 8,
    isDraining: false,
    coldMilliseconds: 0,
    bornAt: 1,
    revision: 0,
    group: undefined,
    ...fields,
});
