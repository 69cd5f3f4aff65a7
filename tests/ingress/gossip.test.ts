/**
 * Deployments with many entries: gossip must stay timely at a bounded message rate, and the retries of all entries
 * together must stay within the limit.
 */
import { expect } from "chai";
import { setMaxListeners } from "node:events";
import { type PeerEntry, startGossipSchedule } from "../../src/coordination/ingress/gossipSchedule.js";
import { createIngressLog } from "../../src/coordination/ingress/ingressLog.js";
import {
    createPeerStatusTable,
    type EntryStatus,
    type PeerStatusTable,
} from "../../src/coordination/ingress/peerStatusTable.js";
import { createRetryReserve } from "../../src/coordination/ingress/retryReserve.js";
import { createRetryBudget } from "../../src/coordination/retryBudget.js";
import { decodeEntryGossip, encodeEntryGossip } from "../../src/protocol/entryGossipMessages.js";
import { steppedClock } from "../support/steppedClock.js";
import { virtualClock } from "../support/virtualClock.js";

const zones = ["kuopio", "varkaus", "iisalmi", "mikkeli"];
const entriesPerZone = 11;

const statusOf = (fields: Partial<EntryStatus>): EntryStatus => ({
    host: "a",
    availabilityZone: "kuopio",
    incarnation: "1",
    sequence: 1,
    running: {},
    limits: {},
    store: undefined,
    unserved: [],
    hasRead: false,
    leaving: {},
    demand: {},
    work: {},
    statedLimits: {},
    crashEvidence: undefined,
    ...fields,
});

type Fleet = {
    run: (milliseconds: number) => Promise<void>;
    kill: (host: string) => void;
    peersOf: (host: string) => PeerStatusTable;
    hosts: string[];
    sent: () => number;
    /** The longest time since the last call in which `reader` received no newer status of some live entry. */
    longestGap: (reader: string) => number;
};

/** Simulates entries in the four zones of the larger site; messages arrive after one millisecond. */
const startFleet = (): Fleet => {
    const clock = steppedClock(0);
    const log = createIngressLog(() => undefined, clock);
    const known: PeerEntry[] = zones.flatMap(availabilityZone =>
        [...Array(entriesPerZone).keys()].map(index => {
            const host = `${availabilityZone}-${String(index).padStart(2, "0")}`;
            return { host, availabilityZone, address: host };
        })
    );
    const alive = new Map(known.map(({ host }) => [host, new AbortController()]));
    alive.forEach(({ signal }) => setMaxListeners(0, signal));
    const peers = new Map(known.map(({ host }) => [host, createPeerStatusTable(clock, log)]));
    const lastHeard = new Map<string, number>();
    const gaps = new Map<string, number>();
    let sent = 0;

    const deliver = (to: string, statuses: EntryStatus[]): void => {
        for (const status of statuses.filter(({ host }) => host !== to && alive.get(host)?.signal.aborted === false)) {
            const pair = `${to}<${status.host}`;
            const before = peers.get(to)?.statusesInZone(status.availabilityZone).find(received =>
                received.status.host === status.host
            );
            if (before === undefined || before.status.sequence < status.sequence) {
                gaps.set(to, Math.max(gaps.get(to) ?? 0, clock.now() - (lastHeard.get(pair) ?? clock.now())));
                lastHeard.set(pair, clock.now());
            }
            peers.get(to)?.record(status, "");
        }
    };

    for (const { host, availabilityZone } of known) {
        const signal = (alive.get(host) as AbortController).signal;
        let sequence = 0;
        startGossipSchedule({
            host,
            availabilityZone,
            others: () => known.filter(entry => entry.host !== host),
            peerStatuses: peers.get(host) as PeerStatusTable,
            ownStatus: () => statusOf({ host, availabilityZone, sequence: sequence += 1 }),
            send: (addresses, statuses) => {
                sent += addresses.length;
                addresses.filter(to => alive.get(to)?.signal.aborted === false)
                    .forEach(to => void clock.sleep(1, signal).then(() => deliver(to, statuses)));
            },
            clock,
            signal,
        });
    }
    return {
        run: clock.advance,
        kill: host => alive.get(host)?.abort(),
        peersOf: host => peers.get(host) as PeerStatusTable,
        hosts: known.map(({ host }) => host),
        sent: () => sent,
        longestGap: reader => {
            const gap = gaps.get(reader) ?? 0;
            gaps.delete(reader);
            return gap;
        },
    };
};

describe("gossip among many entries", () => {
    it("reaches every entry within 500 ms, at less than 150 messages a second per entry", async () => {
        const fleet = startFleet();
        await fleet.run(2_000);
        fleet.hosts.forEach(fleet.longestGap);
        const before = fleet.sent();
        await fleet.run(2_000);
        expect(Math.max(...fleet.hosts.map(fleet.longestGap))).to.be.lessThan(500);
        expect((fleet.sent() - before) / 2 / fleet.hosts.length).to.be.lessThan(150);
        expect(fleet.peersOf("kuopio-00").entries()).to.equal(zones.length * entriesPerZone);
    });

    it("continues when both relays of a zone are killed", async () => {
        const fleet = startFleet();
        await fleet.run(2_000);
        fleet.kill("kuopio-00");
        fleet.kill("kuopio-01");
        await fleet.run(3_000);
        const received = fleet.peersOf("mikkeli-05").statusesInZone("kuopio");
        expect(received.map(({ status }) => status.host)).to.have.length(entriesPerZone - 2);
        expect(Math.max(...received.map(({ age }) => age))).to.be.lessThan(500);
    });

    it("is decoded from a datagram as it was encoded, and other bytes are rejected", () => {
        const positions = { operator: { era: 2, offset: 8 }, upstreams: { era: 3, offset: 900 } };
        const store = { confirmedAges: { operator: 3, upstreams: 700 }, positions };
        const leaving = { "i-1": 1_700_000_000_000 };
        const statuses = [
            statusOf({ running: { x: 3 }, limits: { g: 40.5 }, leaving }),
            statusOf({ host: "b", store, unserved: ["operator"] }),
        ];
        const decoded = decodeEntryGossip(encodeEntryGossip({ from: "a", news: statuses }))._unsafeUnwrap();
        expect(decoded.from).to.equal("a");
        expect(decoded.news[0]).to.deep.include({ running: { x: 3 }, limits: { g: 40.5 }, leaving });
        expect(decoded.news[1]).to.deep.include({ host: "b", store, unserved: ["operator"] });
        expect(decodeEntryGossip(Buffer.from("no datagram of ours")).isErr()).to.equal(true);
    });
});

describe("retries of many entries", () => {
    const allowed = { retryRatio: 0.2, retrySlack: 244, retryWindowSeconds: 10 };
    const entries = zones.length * entriesPerZone;

    it("stay within the retry ratio and the slack of a window if every request fails", () => {
        const clock = virtualClock();
        const budgets = Array.from(
            { length: entries },
            () => createRetryBudget(clock, () => 0.17, createRetryReserve(allowed, () => entries)),
        );
        const requestsPerSecond = 3;
        let retries = 0;
        for (let second = 0; second < allowed.retryWindowSeconds; second += 1) {
            for (const budget of budgets) {
                for (let request = 0; request < requestsPerSecond; request += 1) {
                    budget.recordRequest();
                    retries += budget.takeRetry() ? 1 : 0;
                }
            }
            clock.advance(1_000);
        }
        const requests = entries * requestsPerSecond * allowed.retryWindowSeconds;
        expect(retries).to.be.at.most(allowed.retryRatio * requests + allowed.retrySlack);
    });
});
