/**
 * Requests that reach an entry after it has been told to stop, by every way: on kept connections, on new ones and on opened
 * but unused ones, with late bodies, behind others on their connection, and while the entry answers its last requests. A busy
 * server and a long stream run beside each of them.
 */
import { expect } from "chai";
import { createIngressLog } from "../../src/coordination/ingress/ingressLog.js";
import { createPlannedStop } from "../../src/coordination/ingress/plannedStop.js";
import { type SealedServer, startSealedServer } from "../../src/standin/sealedServer.js";
import { type CallerConnection, openCallerConnection, requestText } from "../support/callerConnection.js";
import {
    type PlatformDeployment,
    standardConfiguration,
    startPlatformDeployment,
} from "../support/platformDeployment.js";
import { steppedClock } from "../support/steppedClock.js";

/** Of the deployments of `startPlatformDeployment`. */
const graceMilliseconds = 5_000;
const pause = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds));

describe("a planned stop", () => {
    let deployment: PlatformDeployment;
    let server: SealedServer;
    let model: SealedServer;
    let shortModel: SealedServer | undefined;
    let longStream: CallerConnection;

    const open = () => openCallerConnection(deployment.entry.addresses.callers);
    const hasRun = (requestId: string): boolean =>
        server.receivedRequests.some(received => received.requestId === requestId);
    const refusedAsStopping = (text: string): void => {
        expect(text).to.match(/^HTTP\/1\.1 503 /);
        expect(text).to.match(/connection: close/i);
        expect(text).to.include(`"outcome":"not-run"`);
    };
    const isWholeRefusal = (text: string): boolean => text.includes(`"outcome":`);

    beforeEach(async () => {
        deployment = await startPlatformDeployment();
        server = await startSealedServer("i-0");
        model = await startSealedServer("i-model", { events: 900, eventMilliseconds: 10 });
        const { routes } = standardConfiguration(2) as { routes: { pathPrefix: string; }[]; };
        deployment.configure(2, { routes: routes.map(route => ({ ...route, timeoutMs: 8_000 })) });
        deployment.listUpstream(server, "catalogue", { slots: 100 });
        deployment.listUpstream(model, "model", { slots: 100 });
        await deployment.waitUntil(() =>
            deployment.logLines.filter(({ event }) => event === "upstream listed").length === 2
            && deployment.logLines.some(({ event, version }) => event === "configuration in force" && version === 2)
        );
        longStream = await open();
        longStream.write(requestText({ path: "/talk/1", requestId: "long", patience: 8_000 }));
        await longStream.until(text => text.includes("id: 3"));
    });

    afterEach(async () => {
        longStream.socket.destroy();
        await deployment.stop();
        await Promise.all([server, model, shortModel].map(started => started?.close()));
        shortModel = undefined;
    });

    /** Lets streams go to a server that ends them after 0.6 s. */
    const shortenStreams = async (): Promise<void> => {
        shortModel = await startSealedServer("i-short", { events: 60, eventMilliseconds: 10 });
        deployment.listUpstream(shortModel, "other");
        const { routes } = standardConfiguration(3) as { routes: { pathPrefix: string; }[]; };
        deployment.configure(3, {
            routes: routes.map(route => route.pathPrefix === "/talk/" ? { ...route, service: "other" } : route),
        });
        await deployment.waitUntil(() =>
            deployment.logLines.some(({ event, version }) => event === "configuration in force" && version === 3)
        );
    };

    it("answers the booking that a caller sends behind a stream whose head had announced keep-alive", async () => {
        await shortenStreams();
        const callers = await Promise.all([...Array(4).keys()].map(async index => {
            const caller = await open();
            caller.write(requestText({ path: "/talk/1", requestId: `short-${index}`, patience: 8_000 }));
            await caller.until(text => text.includes("id: 3"));
            return caller;
        }));
        const stopped = deployment.entry.stop();
        const answers = await Promise.all(callers.map(async (caller, index) => {
            await caller.until(text => text.endsWith("0\r\n\r\n"));
            caller.write(requestText({ path: "/book/1", requestId: `booking-${index}`, patience: 1_000 }));
            return caller.until(text => text.includes(`answer of i-0 to booking-${index}`));
        }));
        expect(answers.filter((text, index) => !text.includes(`answer of i-0 to booking-${index}`))).to.deep.equal([]);
        await stopped;
    }).timeout(30_000);

    it("runs nothing that is sent behind an answer whose head had announced that the connection closes", async () => {
        await shortenStreams();
        const stopped = deployment.entry.stop();
        const caller = await open();
        caller.write(requestText({ path: "/talk/1", requestId: "last", patience: 8_000 }));
        expect(await caller.until(text => text.includes("id: 3"))).to.match(/connection: close/i);
        caller.write(requestText({ path: "/book/1", requestId: "behind", patience: 1_000 }));
        await caller.closed;
        await stopped;
        expect(hasRun("behind")).to.equal(false);
    }).timeout(30_000);

    it("refuses at once what arrives late and can't finish, on a connection that was kept by a late body", async () => {
        const caller = await open();
        const stopped = deployment.entry.stop();
        await pause(2_000);
        caller.write(requestText({ path: "/book/1", requestId: "late", patience: 8_000, body: "ab" }));
        await pause(1_700);
        const sentAt = performance.now();
        caller.write("b");
        refusedAsStopping(await caller.until(isWholeRefusal));
        expect(performance.now() - sentAt).to.be.lessThan(200);
        expect(hasRun("late")).to.equal(false);
        await stopped;
    }).timeout(30_000);

    it("takes what arrives late and is due before the end", async () => {
        const caller = await open();
        const stopped = deployment.entry.stop();
        await pause(2_000);
        caller.write(requestText({ path: "/book/1", requestId: "due", patience: 2_000, body: "ab" }));
        await pause(1_500);
        caller.write("b");
        expect(await caller.until(text => text.includes("answer of"))).to.match(/^HTTP\/1\.1 200 /);
        await stopped;
    }).timeout(30_000);

    it("refuses before its end a request whose body has not arrived", async () => {
        const caller = await open();
        const startedAt = performance.now();
        const stopped = deployment.entry.stop();
        await pause(1_000);
        caller.write(requestText({ path: "/book/1", requestId: "unfinished", patience: 8_000, body: "abc" }));
        refusedAsStopping(await caller.until(isWholeRefusal));
        expect(performance.now() - startedAt).to.be.lessThan(graceMilliseconds);
        await stopped;
    }).timeout(30_000);

    it("answers before its end a booking that its server has not finished", async () => {
        server.queueFaults("mute");
        const caller = await open();
        const startedAt = performance.now();
        const stopped = deployment.entry.stop();
        await pause(500);
        caller.write(requestText({ path: "/book/1", requestId: "unanswered", patience: 8_000 }));
        const text = await caller.until(isWholeRefusal);
        expect(text).to.match(/^HTTP\/1\.1 502 /);
        expect(text).to.include(`"outcome":"unknown"`);
        expect(performance.now() - startedAt).to.be.lessThan(graceMilliseconds);
        await stopped;
    }).timeout(30_000);

    it("runs no booking that waits behind a stream which is cut at the end", async () => {
        longStream.write(requestText({ path: "/book/1", requestId: "before", patience: 8_000 }));
        await pause(100);
        const stopped = deployment.entry.stop();
        longStream.write(requestText({ path: "/book/2", requestId: "after", patience: 8_000 }));
        await longStream.closed;
        await stopped;
        expect(longStream.received()).to.not.match(/0\r\n\r\n$/);
        expect(["before", "after"].filter(hasRun)).to.deep.equal([]);
    }).timeout(30_000);

    for (const milliseconds of [100, 1_000, 2_300]) {
        it(`answers the first request on a connection that was opened before, ${milliseconds} ms after the signal`, async () => {
            const caller = await open();
            await pause(700);
            const stopped = deployment.entry.stop();
            await pause(milliseconds);
            caller.write(requestText({ path: "/book/1", requestId: "first", patience: 1_000 }));
            expect(await caller.until(text => text.includes("answer of"))).to.match(/^HTTP\/1\.1 200 /);
            expect(caller.received()).to.match(/connection: close/i);
            await stopped;
        }).timeout(30_000);
    }

    it("runs nothing that arrives on unused or kept connections while they are closed", async () => {
        const kept = await open();
        kept.write(requestText({ path: "/book/1", requestId: "kept", patience: 1_000 }));
        await kept.until(text => text.includes("answer of"));
        const callers = [kept, ...await Promise.all([...Array(40).keys()].map(open))];
        const stopped = deployment.entry.stop();
        const outcomes = await Promise.all(callers.map(async (caller, index) => {
            await pause(2_500 + index * 6);
            const before = caller.received().length;
            caller.write(requestText({ path: "/book/1", requestId: `crossing-${index}`, patience: 1_000 }));
            await caller.until(text => text.slice(before).includes(`to crossing-${index}`) || isWholeRefusal(text));
            return { isAnswered: caller.received().includes(`to crossing-${index}`), requestId: `crossing-${index}` };
        }));
        expect(outcomes.filter(({ isAnswered, requestId }) => hasRun(requestId) && !isAnswered)).to.deep.equal([]);
        await stopped;
    }).timeout(30_000);
});

describe("requests that a stopping entry takes", () => {
    const start = () => {
        const clock = steppedClock(0);
        const lines: Record<string, unknown>[] = [];
        const log = createIngressLog((event, fields) => void lines.push({ event, ...fields }), clock);
        return { clock, stop: createPlannedStop(8_000, clock, log), lines };
    };

    it("are all before the signal, whenever they are due", () => {
        expect(start().stop.admits(1_000_000, true)).to.equal(true);
    });

    it("are those of the first 3 s, and then those that are due before the last answers", async () => {
        const { clock, stop } = start();
        stop.begin();
        await clock.advance(3_000);
        expect(stop.admits(11_000, false)).to.equal(true);
        await clock.advance(1);
        expect(stop.admits(7_501, false)).to.equal(false);
        expect(stop.admits(7_500, false)).to.equal(true);
    });

    it("are not those that wait for another answer and are due too late, from the signal on", () => {
        const { stop } = start();
        stop.begin();
        expect(stop.admits(7_501, true)).to.equal(false);
        expect(stop.admits(7_500, true)).to.equal(true);
    });

    it("count as failed, not as finished, if they ended without a whole answer", async () => {
        const { clock, stop, lines } = start();
        stop.begin();
        stop.track(() => undefined)(true);
        stop.track(() => undefined)(false);
        stop.track(() => undefined)(false);
        void stop.waitForRequests(() => false, 50, new AbortController().signal);
        await clock.advance(50);
        expect(lines).to.deep.include({ event: "requests of the stop", finished: 2, failed: 1, refused: 0, cut: 0 });
    });

    it("are none once the last answers are given, and a second signal changes nothing", async () => {
        const { clock, stop } = start();
        const lifetime = new AbortController();
        stop.begin();
        const aborted: Error[] = [];
        stop.track(reason => aborted.push(reason));
        let isOver = false;
        void stop.waitForRequests(() => true, 50, lifetime.signal).then(() => isOver = true);
        await clock.advance(6_000);
        stop.begin();
        await clock.advance(1_400);
        expect([aborted.length, stop.lastCall.aborted]).to.deep.equal([0, false]);
        await clock.advance(150);
        expect([aborted.length, stop.lastCall.aborted]).to.deep.equal([1, true]);
        expect(stop.admits(clock.now(), false)).to.equal(false);
        await clock.advance(200);
        expect(isOver).to.equal(true);
        lifetime.abort();
    });
});
