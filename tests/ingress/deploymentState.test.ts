import { expect } from "chai";
import { createDeploymentState } from "../../src/coordination/ingress/deploymentState.js";
import { createIngressLog } from "../../src/coordination/ingress/ingressLog.js";
import type { Upstream } from "../../src/state/ingressTypes.js";
import { emptyConfiguration } from "../support/configurations.js";
import { listedUpstream } from "../support/upstreams.js";
import { virtualClock } from "../support/virtualClock.js";

const upstream = (id: string, fields: Partial<Upstream> = {}): Upstream =>
    listedUpstream({ id, service: "catalogue", ...fields });

const open = () => {
    const clock = virtualClock();
    const state = createDeploymentState(clock, createIngressLog(() => undefined, clock));
    const usable = (): string[] => state.usable("catalogue").map(({ id }) => id);
    state.replace("upstreams", ["a", "b"].map(id => ({ kind: "upstream", upstream: upstream(id) })));
    return { clock, state, usable };
};

describe("deployment state", () => {
    it("never replaces a configuration by an older one, whatever its source", () => {
        const { state } = open();
        expect(state.acceptConfiguration(emptyConfiguration(7), "store")).to.equal(true);
        expect(state.acceptConfiguration(emptyConfiguration(6), "a peer")).to.equal(false);
        expect(state.routeTable()?.configuration.version).to.equal(7);
    });

    it("removes an upstream at once if its record is removed while the store is available", () => {
        const { state, usable } = open();
        state.apply([{ kind: "upstream-gone", id: "a" }]);
        expect(usable()).to.deep.equal(["b"]);
    });

    it("keeps upstreams whose records expired during a store outage for two seconds after the store's return", () => {
        const { clock, state, usable } = open();
        state.markTopicUnavailable("upstreams");
        clock.advance(9_000);
        state.markTopicAvailable("upstreams");
        state.replace("upstreams", []);
        expect(usable()).to.deep.equal(["a", "b"]);
        clock.advance(1_500);
        state.apply([{ kind: "upstream", upstream: upstream("b") }]);
        clock.advance(600);
        expect(usable()).to.deep.equal(["b"]);
    });

    it("gives no grace period to an upstream that was draining", () => {
        const { state, usable } = open();
        state.apply([{ kind: "upstream", upstream: upstream("a", { isDraining: true }) }]);
        state.markTopicUnavailable("upstreams");
        state.markTopicAvailable("upstreams");
        state.apply([{ kind: "upstream-gone", id: "a" }]);
        expect(usable()).to.deep.equal(["b"]);
    });

    it("ends an evacuation that a full read no longer contains", () => {
        const { state, usable } = open();
        state.apply([{ kind: "zone-evacuated", availabilityZone: "medina" }]);
        expect(usable()).to.deep.equal([]);
        state.replace("operator", []);
        expect(usable()).to.deep.equal(["a", "b"]);
    });
});
