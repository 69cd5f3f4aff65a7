/**
 * Callers and servers that read slowly or stop reading, played with real connections. Guards against memory that grows
 * with what they leave unread, against answers that are cut or held up on the way, and against refusals that have run.
 */
import { expect } from "chai";
import { setMaxListeners } from "node:events";
import { type FloodOptions, type FloodServer, startFloodServer } from "../support/floodServer.js";
import {
    type PlatformDeployment,
    standardConfiguration,
    startPlatformDeployment,
} from "../support/platformDeployment.js";
import { killAllPrograms } from "../support/processes.js";
import { callSlowly, type SlowAnswer, startEntryProcess } from "../support/slowCaller.js";

const eventIds = (count: number): number[] => Array.from({ length: count }, (unused, index) => index + 1);

describe("bounded buffers", () => {
    let deployment: PlatformDeployment;
    let servers: FloodServer[];

    const serve = async (
        memoryMegabytes: number,
        service: string,
        count: number,
        options: FloodOptions,
    ): Promise<void> => {
        deployment = await startPlatformDeployment(true, 1, memoryMegabytes);
        const { routes } = standardConfiguration(2) as { routes: object[]; };
        deployment.configure(2, {
            routes: routes.map(route => ({ ...route, timeoutMs: 15_000, goalMs: 10_000 })),
            limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_000_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        });
        servers = await Promise.all(eventIds(count).map(index => startFloodServer(`i-${index}`, options)));
        servers.forEach(server => deployment.listUpstream(server, service));
        await deployment.waitUntil(() =>
            eventsOf("upstream listed").length >= count
            && deployment.logLines.some(line => line.event === "configuration in force" && line["version"] === 2)
        );
    };

    const eventsOf = (event: string): object[] => deployment.logLines.filter(line => line.event === event);
    const address = (): string => deployment.entry.addresses.callers;
    const sentRequests = (): string[] => servers.flatMap(({ requests }) => requests);
    const failureCode = (requestId: string): unknown =>
        deployment.logLines.find(line => line["requestId"] === requestId && line.event === "failed")?.["code"];

    afterEach(async () => {
        await deployment.stop();
        await Promise.all(servers.map(server => server.close()));
    });

    it("give a caller that reads slowly its whole stream, from one server that is not taken for silent", async () => {
        await serve(126, "model", 2, { events: 24_000, eventBytes: 500 });
        const answer = await callSlowly(address(), "/talk/1", { requestId: "slow", bytesPerMillisecond: 4_000 });
        expect(answer.isComplete).to.equal(true);
        expect(answer.eventIds).to.deep.equal(eventIds(24_000));
        expect(sentRequests()).to.deep.equal(["slow"]);
        ["stream moved", "group stalled", "upstream ejected"].forEach(event =>
            expect(eventsOf(event)).to.deep.equal([])
        );
    });

    it("give a caller that reads slowly its whole plain answer, above what a caller may otherwise leave unread", async () => {
        await serve(250, "catalogue", 1, { events: 24_000, eventBytes: 500 });
        const options = { requestId: "plain", isStream: false, bytesPerMillisecond: 4_000 };
        const answer = await callSlowly(address(), "/read/1", options);
        expect(answer.isComplete).to.equal(true);
        expect(answer.bytes).to.equal(12_000_000);
    });

    it("read an answer ahead of a caller that pauses, before its server cuts it off", async () => {
        await serve(250, "model", 2, { events: 40_000, eventBytes: 500, cutAfterMilliseconds: 3_500 });
        const options = { requestId: "pausing", pauseAfterBytes: 100_000, resumeAfterMilliseconds: 5_000 };
        const answer = await callSlowly(address(), "/talk/1", options);
        expect(answer.isComplete).to.equal(true);
        expect(answer.eventIds).to.deep.equal(eventIds(40_000));
        expect(sentRequests()).to.deep.equal(["pausing"]);
        ["stream moved", "group stalled"].forEach(event => expect(eventsOf(event)).to.deep.equal([]));
    });

    it("never let an answer look complete that its server cut off while it was held back, nor blame the server", async () => {
        await serve(250, "model", 1, { events: 40_000, eventBytes: 500, cutAfterMilliseconds: 500 });
        for (const requestId of ["cut-1", "cut-2", "cut-3", "cut-4"]) {
            const options = { requestId, pauseAfterBytes: 100_000, resumeAfterMilliseconds: 1_500 };
            const answer = await callSlowly(address(), "/talk/1", options);
            expect(answer.isComplete).to.equal(false);
            expect(answer.eventIds).to.deep.equal(eventIds(answer.eventIds.length));
            expect(failureCode(requestId)).to.equal("interrupted");
        }
        expect(servers[0]?.cuts()).to.equal(4);
        ["group stalled", "upstream ejected"].forEach(event => expect(eventsOf(event)).to.deep.equal([]));
    });

    it("resume such an answer at another server if the route allows it", async () => {
        await serve(250, "model", 2, { events: 40_000, eventBytes: 500, cutAfterMilliseconds: 500 });
        const options = { requestId: "resumed", pauseAfterBytes: 100_000, resumeAfterMilliseconds: 1_500 };
        const answer = await callSlowly(address(), "/talk/1", options);
        expect(servers.map(server => server.cuts()).sort()).to.deep.equal([0, 1]);
        expect(answer.isComplete).to.equal(true);
        expect(answer.eventIds).to.deep.equal(eventIds(40_000));
    });

    it("end a caller that stops reading for good by the request's time limit, and close its server's connection", async () => {
        await serve(250, "model", 1, { events: 1_000_000, eventBytes: 500 });
        const startedAt = performance.now();
        const ending = new AbortController();
        const options = {
            requestId: "gone",
            pauseAfterBytes: 100_000,
            timeoutMilliseconds: 3_000,
            signal: ending.signal,
        };
        const call = callSlowly(address(), "/talk/1", options);
        await deployment.waitUntil(() => servers[0]?.running() === 1);
        await deployment.waitUntil(() => servers[0]?.running() === 0);
        expect(performance.now() - startedAt).to.be.within(2_900, 4_000);
        expect(failureCode("gone")).to.equal("no-answer-in-time");
        ending.abort();
        expect((await call).isComplete).to.equal(false);
    });

    it("pass events on at once to a caller that reads", async () => {
        const sentAt = new Map<number, number>();
        const delays: number[] = [];
        await serve(250, "model", 1, {
            events: 60,
            eventBytes: 420,
            eventMilliseconds: 30,
            onSend: id => void sentAt.set(id, performance.now()),
        });
        await callSlowly(address(), "/talk/1", {
            requestId: "prompt",
            onEvent: id => void delays.push(performance.now() - (sentAt.get(id) ?? 0)),
        });
        expect(delays.length).to.equal(60);
        expect(Math.max(...delays)).to.be.at.most(200);
    });

    it("refuse a request that the budget has no room for before it reaches a server", async () => {
        // Of 8 MB, four bodies that their server leaves unread take 6.4 MB; a fifth would exceed 85%.
        await serve(126, "catalogue", 1, { events: 1, eventBytes: 100, ignoresBodies: true });
        const body = "x".repeat(1_600_000);
        const held = eventIds(4).map(index =>
            deployment.call("/book/1", { method: "POST", body, requestId: `held-${index}`, timeoutMilliseconds: 4_000 })
        );
        await deployment.waitUntil(() => sentRequests().length === 4);
        const refused = await deployment.call("/book/1", { method: "POST", body, requestId: "refused" });
        expect(refused.status).to.equal(503);
        expect(refused.body).to.contain("buffers-full");
        expect(refused.headers["cyclamengap-outcome"]).to.equal("not-run");
        expect(Number(refused.headers["retry-after"])).to.be.within(0.5, 1.5);
        await Promise.all(held);
        expect(sentRequests()).to.not.include("refused");
        const later = deployment.call("/book/1", {
            method: "POST",
            body,
            requestId: "later",
            timeoutMilliseconds: 1_000,
        });
        await deployment.waitUntil(() => sentRequests().includes("later"));
        await later;
    });
});

/** Eight callers that read at once. */
const serveSteady = (address: string, name: string): Promise<SlowAnswer[]> =>
    Promise.all(eventIds(8).map(index => callSlowly(address, "/talk/1", { requestId: `${name}-${index}` })));

describe("400 callers that stop reading midway on one entry of 250 MB", () => {
    afterEach(killAllPrograms);

    it("leave its memory flat, and callers beside them are served as before", async function() {
        this.timeout(90_000);
        const floods = await Promise.all(
            eventIds(100).map(index => startFloodServer(`flood-${index}`, { events: 600, eventBytes: 16_000 })),
        );
        const steady = await startFloodServer("steady", { events: 40, eventBytes: 400, eventMilliseconds: 50 });
        const entry = await startEntryProcess(250, [
            ...floods.map(({ id, address }) => ({ id, address, service: "flood" })),
            { id: "steady", address: steady.address, service: "model" },
        ]);
        const before = await serveSteady(entry.callers, "before");
        const ending = new AbortController();
        setMaxListeners(0, ending.signal);
        const stopped = eventIds(400).map(async index => {
            // As many callers at once would keep this process, which plays the servers too, from accepting connections.
            await new Promise(resolve => setTimeout(resolve, index * 15));
            return callSlowly(entry.callers, "/flood/1", {
                requestId: `stopped-${index}`,
                pauseAfterBytes: 20_000,
                timeoutMilliseconds: 20_000,
                signal: ending.signal,
            });
        });
        let peakMegabytes = 0;
        const beside: SlowAnswer[] = [];
        for (const round of eventIds(5)) {
            beside.push(...await serveSteady(entry.callers, `beside-${round}`));
            peakMegabytes = Math.max(peakMegabytes, await entry.metric("ingress_resident_bytes") / 1_000_000);
        }
        const reached = floods.reduce((sum, { requests }) => sum + requests.length, 0);
        ending.abort();
        await Promise.all(stopped);
        await entry.stop();
        await Promise.all([...floods, steady].map(server => server.close()));
        expect(reached).to.be.at.least(400);
        expect(peakMegabytes).to.be.lessThan(250);
        expect([...before, ...beside].filter(({ isComplete }) => !isComplete)).to.deep.equal([]);
        [...before, ...beside].forEach(answer => expect(answer.eventIds).to.deep.equal(eventIds(40)));
    });
});
