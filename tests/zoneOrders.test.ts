import { expect } from "chai";
import { Hono } from "hono";
import { createZoneOrders } from "../src/coordination/zoneOrders.js";
import type { ZoneOrders } from "../src/coordination/zoneOrders.js";
import { decodeZoneOrders } from "../src/protocol/settingsUpdate.js";
import { applySettingsRecord, editFrom } from "../src/state/settingsStateMachine.js";
import { emptySettings } from "../src/state/settingsTree.js";
import type { SettingsState } from "../src/state/settingsTree.js";
import { listen } from "../src/transport/httpServer.js";
import type { NodeBindings } from "../src/transport/httpServer.js";
import { orderZone } from "../src/transport/operatorClient.js";
import { createPeerExchange } from "../src/transport/peerClient.js";
import { addOperatorProcedures, addPeerRoutes } from "../src/transport/peerServer.js";
import { virtualClock } from "./support/virtualClock.js";

const zone = "ifrane-nord";

const change = (state: SettingsState, value: Record<string, unknown>): SettingsState => {
    const edits = [editFrom(state, `availabilityZones/${zone}`, value)];
    const body = { kind: "change" as const, id: "x", author: "", comment: "", edits };
    return applySettingsRecord(state, { offset: state.offset + 1, appendedAt: 0, body }).state;
};

/** Two daemons of a zone that cannot reach the log. */
const startDaemons = () => {
    const clock = virtualClock();
    const settings = { near: emptySettings, far: emptySettings };
    const near = createZoneOrders({ settings: () => settings.near, clock, decode: decodeZoneOrders });
    const far = createZoneOrders({ settings: () => settings.far, clock, decode: decodeZoneOrders });
    return { clock, settings, near, far };
};

const gossipOrders = (from: ZoneOrders, to: ZoneOrders): void => {
    to.topic.accept(JSON.parse(JSON.stringify(from.topic.newerThan(to.topic.digest(), 1_000) ?? [])));
};

describe("availability zone orders without the log", () => {
    it("take effect at once, spread by gossip, and the newest of two wins everywhere", () => {
        const { clock, near, far } = startDaemons();
        near.order(zone, "out");
        gossipOrders(near, far);
        expect(far.orderedState(zone)).to.equal("out");
        clock.advance(1);
        far.order(zone, "in");
        gossipOrders(near, far);
        gossipOrders(far, near);
        expect([near.orderedState(zone), far.orderedState(zone)]).to.deep.equal(["in", "in"]);
        expect(near.topic.newerThan(far.topic.digest(), 1_000)).to.be.undefined;
    });

    it("end with the next accepted change of the zone and never come back from a lagging daemon", () => {
        const { settings, near, far } = startDaemons();
        near.order(zone, "out");
        gossipOrders(near, far);
        settings.near = change(settings.near, { state: "in" });
        expect(near.orderedState(zone)).to.be.undefined;
        gossipOrders(far, near);
        expect(near.orderedState(zone)).to.be.undefined;
        expect(far.orderedState(zone), "far has not received the change").to.equal("out");
    });

    it("reach a daemon over its control address only with the right token", async () => {
        const { clock, near, far } = startDaemons();
        const { signal } = new AbortController();
        const application = new Hono<NodeBindings>();
        addOperatorProcedures(application, { zoneOrders: near }, "operator");
        addPeerRoutes(application, { topics: [near.topic] }, "peer");
        const { address, close } = await listen(application, "127.0.0.1:0");
        const refused = await orderZone(address, "peer", zone, "out", signal);
        expect(refused.isErr() && near.inForce().length === 0).to.be.true;
        clock.advance(5);
        const order = await orderZone(address, "operator", zone, "out", signal);
        expect(order._unsafeUnwrap()).to.deep.include({ state: "out", revision: -1, givenAt: 5 });
        const message = { digests: { zoneOrders: far.topic.digest(), unheardOf: 1 }, updates: {} };
        expect((await createPeerExchange("operator")(address, message, signal)).isErr()).to.be.true;
        const answer = (await createPeerExchange("peer")(address, message, signal))._unsafeUnwrap();
        far.topic.accept(answer.updates["zoneOrders"]);
        expect(far.orderedState(zone)).to.equal("out");
        await close();
    });
});
