/**
 * Upstreams that say in their responses that they are leaving, or for how long they want nothing more.
 */
import { expect } from "chai";
import { topics } from "../../platform/names.js";
import { createDeploymentState, type DeploymentState } from "../../src/coordination/ingress/deploymentState.js";
import { createIngressLog } from "../../src/coordination/ingress/ingressLog.js";
import { createUpstreamPauses } from "../../src/coordination/ingress/upstreamPauses.js";
import { type SealedServer, startSealedServer } from "../../src/standin/sealedServer.js";
import type { Upstream } from "../../src/state/ingressTypes.js";
import { type PlatformDeployment, startPlatformDeployment } from "../support/platformDeployment.js";
import { steppedClock } from "../support/steppedClock.js";
import { listedUpstream } from "../support/upstreams.js";

describe("upstreams that give notice in their responses", () => {
    let deployment: PlatformDeployment;
    let first: SealedServer;
    let second: SealedServer;
    let unused: SealedServer;

    const startWith = async (entries: number, service = "catalogue"): Promise<void> => {
        [first, second, unused] = await Promise.all(["s-1", "s-2", "s-3"].map(id => startSealedServer(id))) as [
            SealedServer,
            SealedServer,
            SealedServer,
        ];
        deployment = await startPlatformDeployment(true, entries);
        deployment.listUpstream(first, service);
        deployment.listUpstream(second, service);
        await deployment.waitUntil(() =>
            deployment.logLines.filter(({ event }) => event === "upstream listed").length >= 2 * entries
        );
    };

    afterEach(async () => {
        await deployment.stop();
        await Promise.all([first, second, unused].map(server => server.close()));
    });

    const callUntil = async (isDone: () => boolean, entry = 0): Promise<void> => {
        for (let calls = 0; calls < 60 && !isDone(); calls += 1) {
            await deployment.call("/read/x", { entry });
        }
        expect(isDone()).to.equal(true);
    };

    /** The records before it in the list have then been read as well. */
    const untilLogged = (event: string, { id }: SealedServer): Promise<void> =>
        deployment.waitUntil(() => deployment.logLines.some(line => line.event === event && line["id"] === id));

    describe("of their leaving", () => {
        it("get nothing more from the entry that passed the notice on, although the list shows them as ready", async () => {
            await startWith(1);
            first.announceLeaving();
            await callUntil(() => first.receivedRequests.length > 0);
            const received = first.receivedRequests.length;
            for (let calls = 0; calls < 30; calls += 1) {
                expect((await deployment.call("/read/x")).status).to.equal(200);
            }
            expect(first.receivedRequests).to.have.length(received);
        });

        it("get nothing more from an entry that only heard of it, also while the store does not answer", async () => {
            await startWith(2);
            deployment.store.setFault("busy");
            first.announceLeaving();
            await callUntil(() => first.receivedRequests.length > 0);
            await deployment.waitUntil(() =>
                deployment.logLines.some(({ event, host }) => event === "upstream leaving" && host === "entry-2")
            );
            const received = first.receivedRequests.length;
            for (let calls = 0; calls < 30; calls += 1) {
                await deployment.call("/read/x", { entry: 1 });
            }
            expect(first.receivedRequests).to.have.length(received);
            expect(second.receivedRequests.length).to.be.at.least(30);
        });

        it("are used again in their next run, and not for a late record of the run that leaves", async () => {
            await startWith(1);
            const bornAt = 1_700_000_000_000;
            first.announceLeaving();
            await callUntil(() => first.receivedRequests.length > 0);
            const received = first.receivedRequests.length;
            deployment.store.put(topics.upstreams, first.id, undefined);
            deployment.listUpstream(first, "catalogue", { seq: 9, slots: 7, born: bornAt });
            deployment.listUpstream(unused, "catalogue");
            deployment.store.put(topics.upstreams, second.id, undefined);
            await untilLogged("upstream unlisted", second);
            await callUntil(() => unused.receivedRequests.length > 5);
            expect(first.receivedRequests).to.have.length(received);
            deployment.listUpstream(first, "catalogue", { seq: 1, born: bornAt + 5_000 });
            deployment.store.put(topics.upstreams, unused.id, undefined);
            await untilLogged("upstream unlisted", unused);
            await callUntil(() => first.receivedRequests.length > received);
        });
    });

    describe("of a pause", () => {
        it("get at most two requests until it ends, and serve again then", async () => {
            await startWith(1);
            deployment.store.put(topics.upstreams, second.id, undefined);
            first.askForPause("1.2");
            await callUntil(() => first.receivedRequests.length > 0);
            const pausedAt = performance.now();
            const received = first.receivedRequests.length;
            while (performance.now() - pausedAt < 1_000) {
                await deployment.call("/read/x");
            }
            expect(first.receivedRequests.length - received).to.be.at.most(2);
            first.askForPause(undefined);
            await deployment.waitUntil(async () => {
                await deployment.call("/read/x");
                return first.receivedRequests.length > received + 2;
            });
        });

        it("let callers be refused at once with the time of the shortest pause, if all of them ask for one", async () => {
            await startWith(1);
            first.askForPause("3");
            second.askForPause("2");
            await deployment.waitUntil(async () => {
                await deployment.call("/read/x");
                return first.receivedRequests.length > 0 && second.receivedRequests.length > 0;
            });
            const received = first.receivedRequests.length + second.receivedRequests.length;
            const calledAt = performance.now();
            const answer = await deployment.call("/read/x");
            expect(performance.now() - calledAt).to.be.lessThan(200);
            expect(answer.status).to.equal(503);
            expect(Number(answer.headers["retry-after"])).to.be.within(1, 2.5);
            expect(first.receivedRequests.length + second.receivedRequests.length).to.equal(received);
        });

        it("let streams be refused at once in the same way", async () => {
            await startWith(1, "model");
            first.askForPause("3");
            second.askForPause("2");
            const stream = { method: "POST", body: "x", tokenUsage: "100,20" };
            await deployment.waitUntil(async () => {
                await deployment.call("/talk/x", stream);
                return first.receivedRequests.length > 0 && second.receivedRequests.length > 0;
            });
            const received = first.receivedRequests.length + second.receivedRequests.length;
            const calledAt = performance.now();
            const answer = await deployment.call("/talk/x", stream);
            expect(performance.now() - calledAt).to.be.lessThan(100);
            expect(answer.status).to.equal(503);
            expect(Number(answer.headers["retry-after"])).to.be.within(1, 4);
            expect(first.receivedRequests.length + second.receivedRequests.length).to.equal(received);
        });

        it("are not told to other entries, as a pause is asked of the one entry alone", async () => {
            await startWith(2);
            first.askForPause("20");
            await callUntil(() => first.receivedRequests.length > 0, 0);
            first.askForPause(undefined);
            const received = first.receivedRequests.length;
            await callUntil(() => first.receivedRequests.length > received, 1);
        });
    });
});

describe("pauses that an upstream asks for", () => {
    const upstream = { id: "u", bornAt: 1 };

    const startPauses = () => {
        const clock = steppedClock(0);
        const lines: Record<string, unknown>[] = [];
        const log = createIngressLog((event, fields) => lines.push({ event, ...fields }), clock);
        return { clock, lines, pauses: createUpstreamPauses(clock, log) };
    };

    it("may have fractions of seconds", async () => {
        const { clock, pauses } = startPauses();
        pauses.record(upstream, "0.75");
        await clock.advance(700);
        expect(pauses.isPaused(upstream)).to.equal(true);
        await clock.advance(100);
        expect(pauses.isPaused(upstream)).to.equal(false);
    });

    it("are not shortened by a later, shorter one", async () => {
        const { clock, pauses } = startPauses();
        pauses.record(upstream, "5");
        await clock.advance(1_000);
        pauses.record(upstream, "1");
        await clock.advance(3_500);
        expect(pauses.isPaused(upstream)).to.equal(true);
    });

    it("don't hold for the next run of the upstream", () => {
        const { pauses } = startPauses();
        pauses.record(upstream, "5");
        expect(pauses.isPaused({ ...upstream, bornAt: 2 })).to.equal(false);
    });

    it("are ignored with a log line if they are no number of seconds, and bounded", async () => {
        const { clock, lines, pauses } = startPauses();
        for (const nonsense of ["", "soon", "-1", "NaN", "Infinity", "Wed, 21 Oct 2026 07:28:00 GMT"]) {
            pauses.record(upstream, nonsense);
            expect(pauses.isPaused(upstream), nonsense).to.equal(false);
        }
        expect(lines.filter(({ event }) => event === "pause ignored")).to.have.length(6);
        pauses.record(upstream, "1e30");
        await clock.advance(3_600_001);
        expect(pauses.isPaused(upstream)).to.equal(false);
    });
});

describe("an upstream that is leaving", () => {
    const startState = (): { state: DeploymentState; list: (fields: Partial<Upstream>) => void; } => {
        const clock = steppedClock(0);
        const state = createDeploymentState(clock, createIngressLog(() => undefined, clock));
        return { state, list: fields => state.apply([{ kind: "upstream", upstream: listedUpstream(fields) }]) };
    };

    it("is told to other entries until the list shows it as draining", () => {
        const { state, list } = startState();
        list({ id: "u", bornAt: 4 });
        state.markLeaving("u", 4, "its response");
        expect(state.leavingToGossip()).to.deep.equal({ u: 4 });
        list({ id: "u", bornAt: 4, isDraining: true });
        expect(state.leavingToGossip()).to.deep.equal({});
        expect(state.usable("model")).to.deep.equal([]);
    });

    it("is not taken for its next run by word of the run before", () => {
        const { state, list } = startState();
        list({ id: "u", bornAt: 5 });
        state.markLeaving("u", 4, "another entry");
        expect(state.usable("model")).to.have.length(1);
    });
});
