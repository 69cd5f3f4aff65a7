import { expect } from "chai";
import { createEventSplitter } from "../../src/coordination/ingress/eventSplitter.js";
import {
    createGroupStallDetector,
    type GroupProgress,
    stallTimeoutMilliseconds,
} from "../../src/coordination/ingress/groupStallDetector.js";
import { createIngressLog, maximumLinesPerSecond } from "../../src/coordination/ingress/ingressLog.js";
import { createPeerStatusTable, type EntryStatus } from "../../src/coordination/ingress/peerStatusTable.js";
import { authorize, chooseService, compileRouteTable } from "../../src/coordination/ingress/routeTable.js";
import { createUpstreamHealth } from "../../src/coordination/ingress/upstreamHealth.js";
import type { Envelope, IngressRoute } from "../../src/state/ingressTypes.js";
import { steppedClock } from "../support/steppedClock.js";
import { virtualClock } from "../support/virtualClock.js";

const discardingLog = () => createIngressLog(() => undefined, virtualClock());

describe("event streams", () => {
    it("give whole events only, however their bytes are cut", () => {
        const text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c";
        for (let size = 1; size <= text.length; size += 1) {
            const splitter = createEventSplitter();
            const ids: (string | undefined)[] = [];
            for (let start = 0; start < text.length; start += size) {
                ids.push(...splitter.push(Buffer.from(text.slice(start, start + size))).map(({ id }) => id));
            }
            expect(ids, `pieces of ${size}`).to.deep.equal(["1", "2"]);
            expect(splitter.pendingBytes()).to.be.greaterThan(0);
        }
    });
});

describe("route table", () => {
    const route = (pathPrefix: string, fields: Partial<IngressRoute> = {}): IngressRoute => ({
        name: pathPrefix,
        host: "portal.example",
        pathPrefix,
        kind: "idempotent",
        services: [{ service: "catalogue", weight: 1 }],
        attempts: 2,
        timeoutMilliseconds: 1_000,
        objectiveMilliseconds: 100,
        priority: 3,
        isPublic: false,
        isResumable: false,
        gapTargetMilliseconds: 100,
        ...fields,
    });
    const table = compileRouteTable({
        version: 1,
        routes: [route("/"), route("/a/"), route("/a/b/"), route("/open/", { isPublic: true })],
        services: [],
        limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
        accounts: [{ name: "council", keys: ["good"], priority: 0 }],
    });
    const envelope = (path: string, apiKey?: string): Envelope => ({
        requestId: "r",
        host: "portal.example",
        method: "GET",
        target: path,
        path,
        patienceMilliseconds: undefined,
        apiKey,
        promptTokens: 0,
        maximumAnswerTokens: 0,
        lastEventId: undefined,
    });

    it("chooses the longest prefix that begins the path", () => {
        const found = (path: string) => table.findRoute("portal.example", path)?.pathPrefix;
        expect(["/a/b/c", "/a/bc", "/ab", "/a/b/"].map(found)).to.deep.equal(["/a/b/", "/a/", "/", "/a/b/"]);
        expect(table.findRoute("other.example", "/a/")).to.equal(undefined);
    });

    it("asks for a key except on public routes, and lets the account's priority go first", () => {
        expect(authorize(table, envelope("/a/1")).kind).to.equal("unauthenticated");
        expect(authorize(table, envelope("/a/1", "bad")).kind).to.equal("unauthenticated");
        expect(authorize(table, envelope("/a/1", "good"))).to.include({ kind: "allowed", priority: 0 });
        expect(authorize(table, envelope("/open/1"))).to.include({ kind: "allowed", priority: 3 });
    });

    it("divides requests by the weights", () => {
        const split = route("/", { services: [{ service: "old", weight: 90 }, { service: "new", weight: 10 }] });
        const drawn = [0, 0.5, 0.899, 0.901, 0.999].map(sample => chooseService(split, sample));
        expect(drawn).to.deep.equal(["old", "old", "old", "new", "new"]);
    });
});

describe("health of upstreams", () => {
    it("passes over an upstream at once that can't be reached, and longer each time", () => {
        const clock = virtualClock();
        const health = createUpstreamHealth(clock, discardingLog());
        health.recordFailure("a", true, "refused");
        expect(health.isPaused("a")).to.equal(true);
        clock.advance(601);
        expect(health.isPaused("a")).to.equal(false);
        health.recordFailure("a", true, "refused");
        clock.advance(601);
        expect(health.isPaused("a")).to.equal(true);
        clock.advance(600);
        health.recordSuccess("a", 50);
        health.recordFailure("a", false, "status 500");
        expect(health.isPaused("a")).to.equal(false);
        health.recordFailure("a", false, "status 500");
        expect(health.isPaused("a")).to.equal(true);
    });
});

describe("watch of a group", () => {
    const open = (answers: (now: number) => GroupProgress | undefined) => {
        const clock = steppedClock(0);
        const end = new AbortController();
        const watch = createGroupStallDetector({
            group: "g",
            queryEngine: async () => answers(clock.now()),
            clock,
            log: discardingLog(),
            signal: end.signal,
        });
        return { clock, watch, end };
    };

    it("finds a group stalled when all its streams are silent, and running when passes go on", async () => {
        const { clock, watch, end } = open(now =>
            now < 3_000 ? { isOpen: false, epoch: 1, step: 7 } : { isOpen: true, epoch: 2, step: 7 }
        );
        watch.recordStreamStart();
        expect(watch.isRunning()).to.equal(true);
        await clock.run(stallTimeoutMilliseconds + 10);
        expect(watch.isRunning()).to.equal(false);
        await clock.run(2_000);
        expect(watch.isRunning()).to.equal(false);
        await clock.run(1_000);
        expect(watch.isRunning()).to.equal(true);
        end.abort();
    });

    it("does not take an idle group for a stalled one for good", async () => {
        const { clock, watch, end } = open(() => ({ isOpen: true, epoch: 1, step: 7 }));
        await clock.run(1_000);
        watch.reportLoss("no answer");
        expect(watch.isRunning()).to.equal(false);
        await clock.run(2_500);
        expect(watch.isRunning()).to.equal(true);
        end.abort();
    });

    it("takes arriving events as proof at once", async () => {
        const { clock, watch, end } = open(() => undefined);
        watch.recordStreamStart();
        await clock.run(stallTimeoutMilliseconds + 10);
        expect(watch.isRunning()).to.equal(false);
        watch.recordEvent();
        expect(watch.isRunning()).to.equal(true);
        end.abort();
    });
});

describe("news of the other entries", () => {
    const news = (fields: Partial<EntryStatus>): EntryStatus => ({
        host: "b",
        availabilityZone: "meknes",
        incarnation: "1",
        sequence: 1,
        running: { x: 3 },
        limits: { g: 40 },
        store: undefined,
        ...fields,
    });

    it("count while they are fresh; late ones don't replace newer ones", () => {
        const clock = virtualClock();
        const peers = createPeerStatusTable(clock, discardingLog());
        peers.record(news({ sequence: 2, running: { x: 5 } }), "b:1");
        peers.record(news({ sequence: 1, running: { x: 9 } }), "b:1");
        expect(peers.runningOn("x")).to.equal(5);
        expect(peers.entries()).to.equal(2);
        expect(peers.limitOf("g")).to.equal(40);
        clock.advance(1_600);
        expect(peers.runningOn("x")).to.equal(0);
        expect(peers.entries()).to.equal(1);
    });

    it("show a zone that is alone once all other zones fall silent", () => {
        const clock = virtualClock();
        const peers = createPeerStatusTable(clock, discardingLog());
        expect(peers.isZoneIsolated("medina")).to.equal(false);
        peers.record(news({}), "b:1");
        peers.record(news({ host: "c", availabilityZone: "medina" }), "c:1");
        expect(peers.isZoneIsolated("medina")).to.equal(false);
        clock.advance(800);
        peers.record(news({ host: "c", availabilityZone: "medina", sequence: 2 }), "c:1");
        expect(peers.isZoneIsolated("medina")).to.equal(true);
        peers.record(news({ sequence: 2 }), "b:1");
        expect(peers.isZoneIsolated("medina")).to.equal(false);
    });
});

describe("log of the ingress", () => {
    it("keeps failures when successes flood it, and counts what it drops", () => {
        const clock = virtualClock();
        const written: { event: string; fields: Record<string, unknown>; }[] = [];
        const log = createIngressLog((event, fields) => written.push({ event, fields }), clock);
        for (let turn = 0; turn < 500; turn += 1) {
            log.request("r", "answered", {});
        }
        log.failure("f", "refused", {});
        expect(written.length).to.equal(maximumLinesPerSecond.request + 1);
        clock.advance(1_000);
        log.request("r", "answered", {});
        expect(written.find(({ event }) => event === "log lines dropped")?.fields).to.deep.equal({
            request: 500 - maximumLinesPerSecond.request,
        });
    });
});
