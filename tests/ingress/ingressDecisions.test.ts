import { expect } from "chai";
import { createEventSplitter } from "../../src/coordination/ingress/eventSplitter.js";
import {
    createGroupStallDetector,
    type GroupProgress,
    stallTimeoutMilliseconds,
} from "../../src/coordination/ingress/groupStallDetector.js";
import { createIngressLog, maximumLinesPerSecond } from "../../src/coordination/ingress/ingressLog.js";
import { createPeerStatusTable, type EntryStatus } from "../../src/coordination/ingress/peerStatusTable.js";
import { missingResponseCode } from "../../src/coordination/ingress/requestContext.js";
import { authorize, chooseService, compileRouteTable } from "../../src/coordination/ingress/routeTable.js";
import { createUpstreamHealth } from "../../src/coordination/ingress/upstreamHealth.js";
import type { Envelope, IngressAccount, IngressRoute } from "../../src/state/ingressTypes.js";
import { steppedClock } from "../support/steppedClock.js";
import { virtualClock } from "../support/virtualClock.js";

const discardingLog = () => createIngressLog(() => undefined, virtualClock());

describe("event splitter", () => {
    it("emits only complete events, however the bytes are split into chunks", () => {
        const text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c";
        for (let size = 1; size <= text.length; size += 1) {
            const splitter = createEventSplitter();
            const ids: (string | undefined)[] = [];
            for (let start = 0; start < text.length; start += size) {
                ids.push(...splitter.push(Buffer.from(text.slice(start, start + size))).map(({ id }) => id));
            }
            expect(ids, `chunks of ${size} bytes`).to.deep.equal(["1", "2"]);
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
        expectedAnswerTokens: undefined,
        promptParts: [],
        lastEventId: undefined,
    });

    it("ranks streams by the account's priority and then by the route's, only where the routes of a service differ", () => {
        const services = [{ service: "model", weight: 1 }];
        const streaming = (path: string, priority: number, service = "model") =>
            route(path, { kind: "streaming", priority, services: [{ ...services[0]!, service }] });
        const routes = [streaming("/first/", 0), streaming("/last/", 2), streaming("/alone/", 1, "other")];
        const [first, last, alone] = routes;
        const accounts = [1, 0, undefined].map(priority => ({ name: "account", keys: [], priority }));
        const ranked = compileRouteTable({ ...table.configuration, routes, accounts });
        const rank = (served: typeof first, priority: number | undefined) =>
            ranked.urgencyOf("model", served!, { name: "account", keys: [], priority })!;
        expect([rank(first, 0), rank(last, 0), rank(first, 1), rank(last, 1)]).to.deep.equal([0, 1, 2, 3]);
        expect(rank(first, undefined)).to.equal(rank(first, 0));
        expect(ranked.urgencyOf("other", alone!, accounts[0])).to.equal(undefined);
    });

    it("selects the route with the longest matching path prefix", () => {
        const found = (path: string) => table.findRoute("portal.example", path)?.pathPrefix;
        expect(["/a/b/c", "/a/bc", "/ab", "/a/b/"].map(found)).to.deep.equal(["/a/b/", "/a/", "/", "/a/b/"]);
        expect(table.findRoute("other.example", "/a/")).to.equal(undefined);
    });

    it("requires an API key except on public routes, and prefers the account's priority to the route's", () => {
        expect(authorize(table, envelope("/a/1")).kind).to.equal("unauthenticated");
        expect(authorize(table, envelope("/a/1", "bad")).kind).to.equal("unauthenticated");
        expect(authorize(table, envelope("/a/1", "good"))).to.include({ kind: "allowed", priority: 0 });
        expect(authorize(table, envelope("/open/1"))).to.include({ kind: "allowed", priority: 3 });
    });

    it("lets no key in if its list of accounts is empty or an account has no keys, and any if it has no list", () => {
        const kindWith = (accounts: IngressAccount[] | undefined, path = "/a/1") =>
            authorize(compileRouteTable({ ...table.configuration, accounts }), envelope(path, "good")).kind;
        expect(kindWith([])).to.equal("unauthenticated");
        expect(kindWith([{ name: "council", keys: [], priority: 0 }])).to.equal("unauthenticated");
        expect(kindWith([], "/open/1")).to.equal("allowed");
        expect(kindWith(undefined)).to.equal("allowed");
    });

    it("distributes requests among services by weight", () => {
        const split = route("/", { services: [{ service: "old", weight: 90 }, { service: "new", weight: 10 }] });
        const drawn = [0, 0.5, 0.899, 0.901, 0.999].map(sample => chooseService(split, sample));
        expect(drawn).to.deep.equal(["old", "old", "old", "new", "new"]);
    });
});

describe("a request without a complete response", () => {
    it("is not called interrupted when its attempt's timer fires before the request's own", () => {
        const active = new AbortController().signal;
        const context = { signal: active, callerGone: active, responseDueAt: 1_000 };
        expect(missingResponseCode(context, 999.4)).to.equal("no-answer-in-time");
        expect(missingResponseCode(context, 500)).to.equal("interrupted");
        expect(missingResponseCode({ ...context, callerGone: AbortSignal.abort() }, 999.4)).to.equal("interrupted");
    });
});

describe("upstream health", () => {
    it("ejects an unreachable upstream at once and for longer each time, another after two failures", () => {
        const clock = virtualClock();
        const health = createUpstreamHealth(clock, discardingLog());
        health.recordFailure("a", true, "refused");
        expect(health.isEjected("a")).to.equal(true);
        clock.advance(601);
        expect(health.isEjected("a")).to.equal(false);
        health.recordFailure("a", true, "refused");
        clock.advance(601);
        expect(health.isEjected("a")).to.equal(true);
        clock.advance(600);
        health.recordSuccess("a");
        health.recordFailure("a", false, "status 500");
        expect(health.isEjected("a")).to.equal(false);
        health.recordFailure("a", false, "status 500");
        expect(health.isEjected("a")).to.equal(true);
    });
});

describe("group stall detector", () => {
    const startDetector = (answers: (now: number) => GroupProgress | undefined) => {
        const clock = steppedClock(0);
        const end = new AbortController();
        const detector = createGroupStallDetector({
            group: "g",
            queryEngine: async () => answers(clock.now()),
            clock,
            log: discardingLog(),
            signal: end.signal,
        });
        return { clock, detector, end };
    };

    it("detects a stall when all streams are silent, and recovery when the group is open and progresses", async () => {
        const { clock, detector, end } = startDetector(now =>
            now < 3_000 ? { isOpen: false, epoch: 1, step: 7 } : { isOpen: true, epoch: 2, step: 7 }
        );
        detector.recordStreamStart();
        expect(detector.isRunning()).to.equal(true);
        await clock.advance(stallTimeoutMilliseconds + 10);
        expect(detector.isRunning()).to.equal(false);
        await clock.advance(2_000);
        expect(detector.isRunning()).to.equal(false);
        await clock.advance(1_000);
        expect(detector.isRunning()).to.equal(true);
        end.abort();
    });

    it("detects recovery of an idle group that makes no progress", async () => {
        const { clock, detector, end } = startDetector(() => ({ isOpen: true, epoch: 1, step: 7 }));
        await clock.advance(1_000);
        detector.reportLoss("no response");
        expect(detector.isRunning()).to.equal(false);
        await clock.advance(2_500);
        expect(detector.isRunning()).to.equal(true);
        end.abort();
    });

    it("detects recovery at once when an event arrives", async () => {
        const { clock, detector, end } = startDetector(() => undefined);
        detector.recordStreamStart();
        await clock.advance(stallTimeoutMilliseconds + 10);
        expect(detector.isRunning()).to.equal(false);
        detector.recordEvent();
        expect(detector.isRunning()).to.equal(true);
        end.abort();
    });
});

describe("peer status table", () => {
    const status = (fields: Partial<EntryStatus>): EntryStatus => ({
        host: "b",
        availabilityZone: "meknes",
        incarnation: "1",
        sequence: 1,
        running: { x: 3 },
        limits: { g: 40 },
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

    it("counts statuses until they expire, and ignores one that arrives after a newer one", () => {
        const clock = virtualClock();
        const peers = createPeerStatusTable(clock, discardingLog());
        peers.record(status({ sequence: 2, running: { x: 5 } }), "b:1");
        peers.record(status({ sequence: 1, running: { x: 9 } }), "b:1");
        expect(peers.runningOn("x")).to.equal(5);
        expect(peers.entries()).to.equal(2);
        expect(peers.limitOf("g")).to.equal(40);
        clock.advance(1_600);
        expect(peers.runningOn("x")).to.equal(0);
        expect(peers.entries()).to.equal(1);
    });

    it("reports a zone as isolated once the entries of all other zones are silent", () => {
        const clock = virtualClock();
        const peers = createPeerStatusTable(clock, discardingLog());
        expect(peers.isZoneIsolated("medina")).to.equal(false);
        peers.record(status({}), "b:1");
        peers.record(status({ host: "c", availabilityZone: "medina" }), "c:1");
        expect(peers.isZoneIsolated("medina")).to.equal(false);
        clock.advance(800);
        peers.record(status({ host: "c", availabilityZone: "medina", sequence: 2 }), "c:1");
        expect(peers.isZoneIsolated("medina")).to.equal(true);
        peers.record(status({ sequence: 2 }), "b:1");
        expect(peers.isZoneIsolated("medina")).to.equal(false);
    });
});

describe("ingress log", () => {
    it("logs failures even when successes exceed their budget, and counts dropped lines", () => {
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
