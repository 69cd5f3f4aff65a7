import { expect } from "chai";
import { err, ok } from "neverthrow";
import { setMaxListeners } from "node:events";
import { answerPeerExchange, startGossip } from "../src/coordination/gossip.js";
import type { Gossip, GossipTopic, PeerExchange } from "../src/coordination/gossip.js";
import { createLogReaderCheck } from "../src/coordination/logReaderCheck.js";
import { startSettingsFollower } from "../src/coordination/settingsFollower.js";
import { settingsTopic } from "../src/coordination/settingsTopic.js";
import { runSnapshotTask } from "../src/coordination/snapshotTask.js";
import { availabilityZoneSettings } from "../src/protocol/settingsSchema.js";
import { decodeSettingsUpdate } from "../src/protocol/settingsUpdate.js";
import { editFrom } from "../src/state/settingsStateMachine.js";
import type { HostRecord, SettingsRecord } from "../src/state/types.js";
import { advanceUntil } from "./support/advanceUntil.js";
import { memoryLog } from "./support/memoryLog.js";
import { seededRandom } from "./support/random.js";
import { steppedClock } from "./support/steppedClock.js";

const inForceLimitMilliseconds = 4_000;

/** The platform's log and several daemons, connected by the real gossip with JSON messages. */
const deployment = (seed: number) => {
    const clock = steppedClock(0);
    const random = seededRandom(seed);
    const log = memoryLog<SettingsRecord>(clock);
    const controller = new AbortController();
    setMaxListeners(0, controller.signal);
    const topics = new Map<string, GossipTopic[]>();
    const unreachable = new Set<string>();
    const gossipByHost = new Map<string, Gossip>();
    let hosts: HostRecord[] = [];
    /** Lists daemons of one availability zone, a few of which then read the log for all. */
    const listHosts = (names: string[]): void => {
        hosts = names.map(host => ({ host, availabilityZone: "savo", role: "entry", state: "live", address: host }));
    };

    const exchange: PeerExchange = async (address, message) => {
        const known = topics.get(address);
        return known === undefined || unreachable.has(address)
            ? err({ kind: "unreachable", reason: "cut" })
            : ok(JSON.parse(JSON.stringify(answerPeerExchange(known, message))));
    };

    const startDaemon = (host: string, seeds?: string[]) => {
        const stream = log.connect();
        const isReader = createLogReaderCheck({
            host,
            availabilityZone: "savo",
            hosts: () => hosts,
            gossip: () => gossipByHost.get(host)?.status(),
            clock,
        });
        const follower = startSettingsFollower({ stream, clock, random, signal: controller.signal, isReader });
        const ownTopics = [settingsTopic(follower, decodeSettingsUpdate)];
        const peers = () => seeds ?? [...topics.keys()].filter(other => other !== host);
        topics.set(host, ownTopics);
        const gossip = startGossip({ topics: ownTopics, peers, exchange, clock, random, signal: controller.signal });
        gossipByHost.set(host, gossip);
        const zoneState = (zone: string) => availabilityZoneSettings(follower.state(), zone)._unsafeUnwrap().state;
        return { host, stream, follower, gossip, isReader, zoneState };
    };

    const operator = startDaemon("operator", []);
    const orderZone = async (zone: string, state: "in" | "out") => {
        const edit = editFrom(operator.follower.state(), `availabilityZones/${zone}`, { state });
        const body: SettingsRecord = { kind: "change", id: `${zone}-${state}`, author: "", comment: "", edits: [edit] };
        return (await operator.stream.append(body, controller.signal))._unsafeUnwrap();
    };
    const stop = async (...daemons: ReturnType<typeof startDaemon>[]) => {
        controller.abort();
        await Promise.all([operator, ...daemons].flatMap(({ follower, gossip }) => [follower.done, gossip.done]));
    };
    return { clock, log, controller, unreachable, startDaemon, listHosts, operator, orderZone, stop };
};

describe("settings gossip", () => {
    it("reaches a daemon cut off from the platform, and a new daemon behind it, within the time limit", async () => {
        const { clock, startDaemon, orderZone, stop } = deployment(1);
        const near = startDaemon("savo-kuopio-entry");
        const far = startDaemon("savo-varkaus-entry");
        far.stream.cut = true;
        await orderZone("savo-iisalmi", "out");
        const elapsed = await advanceUntil(clock, () => far.zoneState("savo-iisalmi") === "out");
        expect(elapsed).to.be.at.most(inForceLimitMilliseconds);
        expect(far.follower.status().logFailure).to.equal("outage");
        const later = startDaemon("savo-varkaus-agent", ["savo-varkaus-entry"]);
        later.stream.cut = true;
        const start = await advanceUntil(clock, () => later.follower.state().offset === near.follower.state().offset);
        expect(start).to.be.at.most(inForceLimitMilliseconds);
        expect(later.follower.state()).to.deep.equal(near.follower.state());
        await stop(near, far, later);
    });

    it("brings settings to a daemon that starts empty while the log is down, and never reverts them", async () => {
        const { clock, log, startDaemon, operator, orderZone, stop } = deployment(2);
        await orderZone("fes-medina", "out");
        await advanceUntil(clock, () => operator.zoneState("fes-medina") === "out");
        log.faults.outage = true;
        const fresh = startDaemon("meknes-centre-agent");
        expect(fresh.zoneState("fes-medina")).to.equal("in");
        await advanceUntil(clock, () => fresh.zoneState("fes-medina") === "out", inForceLimitMilliseconds);
        log.faults.outage = false;
        await orderZone("meknes-centre", "out");
        await advanceUntil(clock, () => fresh.zoneState("meknes-centre") === "out", inForceLimitMilliseconds);
        expect(fresh.zoneState("fes-medina")).to.equal("out");
        await stop(fresh);
    });

    it("leaves an isolated daemon's settings unchanged and catches up when the partition heals", async () => {
        const { clock, startDaemon, unreachable, orderZone, stop } = deployment(3);
        const isolatedDaemon = startDaemon("ifrane-nord-entry");
        await orderZone("fes-medina", "out");
        await advanceUntil(clock, () => isolatedDaemon.zoneState("fes-medina") === "out");
        isolatedDaemon.stream.cut = true;
        unreachable.add("operator");
        await orderZone("fes-medina", "in");
        await clock.advance(60_000);
        expect(isolatedDaemon.zoneState("fes-medina")).to.equal("out");
        isolatedDaemon.stream.cut = false;
        const catchUpMilliseconds = await advanceUntil(clock, () => isolatedDaemon.zoneState("fes-medina") === "in");
        expect(catchUpMilliseconds).to.be.at.most(inForceLimitMilliseconds);
        await stop(isolatedDaemon);
    });

    it("lets a few hosts of a zone read the log for all, and the others once these are gone", async () => {
        const { clock, log, startDaemon, listHosts, orderZone, stop } = deployment(5);
        const names = [...Array(16).keys()].map(position => `savo-${position}`);
        listHosts(names);
        const daemons = names.map(name => startDaemon(name));
        await clock.advance(10_000);
        const before = log.reads();
        await clock.advance(60_000);
        expect(log.reads() - before, "reads per minute").to.be.below(16 * 6 / 2);
        await orderZone("savo-kuopio", "out");
        const everywhere = () => daemons.every(daemon => daemon.zoneState("savo-kuopio") === "out");
        expect(await advanceUntil(clock, everywhere)).to.be.at.most(inForceLimitMilliseconds);
        const nonReaders = daemons.filter(({ isReader }) => !isReader());
        expect(nonReaders).to.have.lengthOf(12);
        daemons.filter(({ isReader }) => isReader()).forEach(reader => {
            reader.stream.cut = true;
        });
        listHosts(nonReaders.map(({ host }) => host));
        await clock.advance(2_000);
        await orderZone("savo-kuopio", "in");
        const back = await advanceUntil(clock, () => daemons.every(daemon => daemon.zoneState("savo-kuopio") === "in"));
        expect(back).to.be.at.most(inForceLimitMilliseconds);
        await stop(...daemons);
    });

    it("keeps settings beyond the log's retention with snapshots, usually by one of many daemons", async () => {
        const { clock, log, controller, startDaemon, operator, orderZone, stop } = deployment(4);
        log.faults.retentionRecords = 40;
        const daemons = ["a", "b", "c", "d"].map(host => startDaemon(host));
        const snapshotTasks = daemons.map(({ host, follower, stream }) =>
            runSnapshotTask({
                follower,
                stream,
                host,
                hosts: () => ["a", "b", "c", "d"],
                retention: { records: log.faults.retentionRecords },
                clock,
                signal: controller.signal,
            })
        );
        await orderZone("savo-kuopio", "out");
        for (let round = 0; round < 100; round++) {
            await orderZone("savo-varkaus", round % 2 === 0 ? "out" : "in");
            await clock.advance(1_000);
        }
        const first = log.records()[0]!;
        expect(first.offset, "records were dropped").to.be.above(50);
        const snapshots = log.records().filter(({ body }) => body.kind === "snapshot");
        expect(snapshots.length).to.be.within(1, 8);
        const fresh = startDaemon("fresh", []);
        await advanceUntil(clock, () => fresh.follower.state().offset === operator.follower.state().offset);
        expect(fresh.follower.state()).to.deep.equal(operator.follower.state());
        expect(fresh.zoneState("savo-kuopio")).to.equal("out");
        await stop(fresh, ...daemons);
        await Promise.all(snapshotTasks);
    });
});
