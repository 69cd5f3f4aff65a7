import { expect } from "chai";
import { Agent } from "node:http";
import { headerNames, topics } from "../../platform/names.js";
import { type SealedServer, startSealedServer } from "../../src/standin/sealedServer.js";
import { goodKey, type PlatformDeployment, startPlatformDeployment } from "../support/platformDeployment.js";

const tokens = "40,80";

describe("an entry on the platform's stand-ins", () => {
    let deployment: PlatformDeployment;
    let servers: SealedServer[];

    const startServers = async (count: number, options = {}): Promise<SealedServer[]> => {
        const started = await Promise.all(
            [...Array(count).keys()].map(index => startSealedServer(`i-${servers.length + index}`, options)),
        );
        servers.push(...started);
        return started;
    };

    const listed = (id: string): Promise<void> =>
        deployment.until(() => deployment.lines.some(line => line.event === "upstream listed" && line.id === id));

    /** A service with `count` servers that the entry knows. */
    const serve = async (service: string, count: number, options = {}): Promise<SealedServer[]> => {
        const started = await startServers(count, options);
        started.forEach(server => deployment.list(server, service));
        await Promise.all(started.map(({ id }) => listed(id)));
        return started;
    };

    const runs = (requestId?: string): number =>
        servers.flatMap(({ seen }) => seen)
            .filter(({ hasRun, requestId: id }) => hasRun && (requestId === undefined || id === requestId)).length;

    beforeEach(async () => {
        servers = [];
        deployment = await startPlatformDeployment();
    });

    afterEach(async () => {
        await deployment.stop();
        await Promise.all(servers.map(server => server.close()));
    });

    describe("passes requests on", () => {
        it("unchanged but for key, account, target and what is left of the caller's patience", async () => {
            const [server] = await serve("catalogue", 1);
            const answer = await deployment.call("/book/shelf?x=1", {
                method: "POST",
                body: "a book",
                headers: {
                    [headerNames.clientAccount]: "forged",
                    "x-other": "kept",
                    [headerNames.targetUpstream]: "forged",
                },
            });
            expect(answer.status).to.equal(200);
            expect(answer.headers[headerNames.responseSeal]).to.equal(`seal-of-${server?.id}`);
            const [seen] = server?.seen ?? [];
            expect(seen).to.include({ method: "POST", path: "/book/shelf?x=1", body: "a book" });
            expect(seen?.headers[headerNames.clientAccount]).to.equal("council");
            expect(seen?.headers[headerNames.targetUpstream]).to.equal(server?.id);
            expect(seen?.headers["x-other"]).to.equal("kept");
            expect(seen?.headers.authorization).to.equal(undefined);
            expect(Number(seen?.headers[headerNames.remainingTimeout])).to.be.within(1, 2_000);
        });

        it("to the service of the longest path prefix", async () => {
            const [other] = await serve("other", 1);
            await serve("catalogue", 1);
            const answer = await deployment.call("/book/special/1", { method: "POST" });
            expect(answer.body).to.contain(`answer of ${other?.id}`);
        });

        it("as whole events of a stream", async () => {
            await serve("model", 1);
            const answer = await deployment.call("/talk/1", { method: "POST", tokens });
            expect(answer.isWhole).to.equal(true);
            expect(answer.body.match(/^id: \d+$/gm)).to.deep.equal([1, 2, 3, 4, 5, 6].map(id => `id: ${id}`));
        });
    });

    describe("refuses", () => {
        it("unknown keys and routes, and a body over the limit", async () => {
            await serve("catalogue", 1);
            expect((await deployment.call("/read/1", { key: "unknown" })).status).to.equal(401);
            expect((await deployment.call("/nowhere/1")).status).to.equal(404);
            expect((await deployment.call("/book/1", { method: "POST", body: "x".repeat(1_001) })).status).to.equal(
                413,
            );
            expect(runs()).to.equal(0);
        });

        it("with 503 and a time to come back what no server can take", async () => {
            const answer = await deployment.call("/read/1");
            expect(answer.status).to.equal(503);
            expect(Number(answer.headers["retry-after"])).to.be.greaterThan(0);
        });

        it("everything with 503 while it knows no configuration, and is not ready", async () => {
            const empty = await startPlatformDeployment(false);
            const ready = await fetch(`http://${empty.entry.addresses.readiness}/cyclamengap/readyz`);
            expect(ready.status).to.equal(503);
            expect((await empty.call("/read/1")).status).to.equal(503);
            await empty.stop();
        });
    });

    describe("runs once what may not repeat", () => {
        for (const fault of ["cut", "unframed", "crossed", "unsealed"] as const) {
            it(`and promises nothing when its answer was ${fault}`, async () => {
                const both = await serve("catalogue", 2);
                both.forEach(server => server.failNext(fault));
                const answer = await deployment.call("/book/1", { method: "POST", requestId: "once" });
                expect(answer.status).to.equal(502);
                expect(runs("once")).to.equal(1);
            });
        }

        it("and sends it on when the first server says that it has not run it", async () => {
            const both = await serve("catalogue", 2);
            both.forEach(server => server.failNext("not-run"));
            const answer = await deployment.call("/book/1", { method: "POST", requestId: "unrun" });
            expect(answer.status).to.equal(503);
            expect(runs("unrun")).to.equal(0);
            expect((await deployment.call("/book/2", { method: "POST" })).status).to.equal(200);
        });

        it("and takes another server when one can't be reached", async () => {
            const [gone] = await serve("catalogue", 2);
            await gone?.close();
            servers = servers.filter(server => server !== gone);
            for (let turn = 0; turn < 6; turn += 1) {
                expect((await deployment.call("/book/1", { method: "POST" })).status).to.equal(200);
            }
        });

        it("and never at a server that came to the address of another", async () => {
            const [server] = await serve("catalogue", 1);
            deployment.list({ ...server as SealedServer, id: "i-gone" }, "other");
            await listed("i-gone");
            const answer = await deployment.call("/book/special/1", { method: "POST", requestId: "misled" });
            expect(answer.status).to.equal(503);
            expect(runs("misled")).to.equal(0);
        });
    });

    describe("repeats what may repeat", () => {
        for (const fault of ["cut", "unframed", "crossed", "unsealed", "error", "not-run"] as const) {
            it(`when an answer was ${fault}`, async () => {
                const [first, second] = await serve("catalogue", 2);
                first?.failNext(fault);
                second?.failNext(fault);
                const faulty = await deployment.call("/read/1");
                // Each server fails once, so the first request meets both faults and the next none.
                expect(faulty.status).to.be.oneOf([500, 502, 503]);
                expect((await deployment.call("/read/2")).status).to.equal(200);
                first?.failNext(fault);
                second?.failNext();
                const answers = await Promise.all([deployment.call("/read/3"), deployment.call("/read/4")]);
                answers.forEach(answer => expect(answer.status).to.equal(200));
            });
        }

        for (const fault of ["cut", "unframed"] as const) {
            it(`and ends a stream whole that was ${fault}, each event once`, async () => {
                const both = await serve("model", 2);
                both[0]?.failNext(fault);
                // The entry chooses among idle servers at random, so it is asked until it has met the faulty one.
                let calls = 0;
                while (both[0]?.seen.length === 0) {
                    calls += 1;
                    const answer = await deployment.call(`/talk/${calls}`, { method: "POST", tokens });
                    expect(answer.isWhole).to.equal(true);
                    expect(answer.body.match(/^id: \d+$/gm)).to.deep.equal([1, 2, 3, 4, 5, 6].map(id => `id: ${id}`));
                }
                expect(servers.flatMap(({ seen }) => seen).length).to.equal(calls + 1);
            });
        }
    });

    it("cuts a stream that no server goes on with, and gives its places back", async () => {
        const both = await serve("model", 2);
        for (let turn = 0; turn < 8; turn += 1) {
            // The entry begins at either server; where it begins at the first, the second fails a stream that has begun.
            both[0]?.failNext("cut");
            both[1]?.failNext("error");
            const answer = await deployment.call(`/talk/${turn}`, { method: "POST", tokens });
            expect(answer.isWhole).to.equal(false);
        }
        const state = await (await fetch(`http://${deployment.entry.addresses.metrics}/state`)).json() as {
            groups: { running: number; }[];
        };
        expect(state.groups.map(({ running }) => running)).to.deep.equal([0]);
    });

    it("cancels the work of a caller that leaves", async () => {
        const [server] = await serve("model", 1, { events: 400, eventMilliseconds: 5 });
        await deployment.call("/talk/1", { method: "POST", tokens, leaveAfter: 30 });
        await deployment.until(() => server?.abandoned() === 1);
    });

    it("answers at the route's timeout, without waiting for a mute server", async () => {
        const [server] = await serve("catalogue", 1);
        server?.failNext("mute");
        deployment.configure(2, {
            routes: [{
                name: "r",
                host: "portal.example",
                pathPrefix: "/book/",
                kind: "non_idempotent",
                service: "catalogue",
                timeoutMs: 200,
                attempts: 1,
            }],
        });
        await deployment.until(() => deployment.lines.some(line => line.version === 2));
        const startedAt = performance.now();
        const answer = await deployment.call("/book/1", { method: "POST" });
        expect(answer.status).to.equal(504);
        expect(performance.now() - startedAt).to.be.within(190, 600);
    });

    describe("follows the store", () => {
        it("to new configurations, never back to older ones, and through a lost history", async () => {
            await serve("catalogue", 1);
            deployment.configure(5, { tenants: [{ name: "council", apiKeys: ["new-key"] }] });
            await deployment.until(() => deployment.lines.some(line => line.version === 5));
            expect((await deployment.call("/read/1")).status).to.equal(401);
            deployment.configure(3);
            deployment.store.dropHistory(topics.operator);
            deployment.configure(6, { tenants: [{ name: "council", apiKeys: [goodKey, "new-key"] }] });
            await deployment.until(() => deployment.lines.some(line => line.version === 6));
            expect(deployment.lines.some(line => line.version === 3)).to.equal(false);
            expect((await deployment.call("/read/1")).status).to.equal(200);
        });

        it("and sends nothing to servers that drain, have left or are in a zone that was evacuated", async () => {
            const [draining, left, stays] = await serve("catalogue", 3);
            const away = await startSealedServer("i-away");
            servers.push(away);
            deployment.list(away, "catalogue", { zone: "meknes" });
            await listed("i-away");
            deployment.list(draining as SealedServer, "catalogue", { state: "draining" });
            deployment.store.put(topics.upstreams, left?.id ?? "", undefined);
            deployment.store.put(topics.operator, "evacuate/meknes", {});
            await deployment.until(() =>
                ["zone evacuated", "upstream unlisted"].every(event =>
                    deployment.lines.some(line => line.event === event)
                ) && deployment.lines.some(line => line.isDraining === true)
            );
            for (let turn = 0; turn < 8; turn += 1) {
                expect((await deployment.call("/read/1")).body).to.contain(`answer of ${stays?.id}`);
            }
        });

        it("and ignores entries that can't be read", async () => {
            const [server] = await serve("catalogue", 1);
            deployment.store.putBytes(topics.upstreams, "i-bad", Buffer.from("not json"));
            deployment.store.putBytes(topics.upstreams, "i-half", Buffer.from("{\"service\": \"catalogue\"}"));
            await deployment.until(() => deployment.lines.filter(line => line.event === "record ignored").length >= 2);
            expect((await deployment.call("/read/1")).body).to.contain(`answer of ${server?.id}`);
        });

        it("serves on while the store is away, and says when it was lost and regained", async () => {
            await serve("catalogue", 1);
            deployment.store.fail("reset");
            await deployment.until(() => deployment.lines.some(line => line.event === "dependency lost"));
            expect((await deployment.call("/read/1")).status).to.equal(200);
            deployment.store.fail(undefined);
            await deployment.until(() => deployment.lines.some(line => line.event === "dependency regained"));
        });
    });

    it("takes no request on a connection whose stream ended after the stop", async () => {
        await serve("model", 1, { events: 300, eventMilliseconds: 10 });
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        const streaming = deployment.call("/talk/1", { method: "POST", tokens, agent, patience: 8_000 });
        await deployment.until(() => runs() === 1);
        const stopped = deployment.entry.stop();
        expect((await streaming).isWhole).to.equal(true);
        const second = await deployment.call("/talk/2", { method: "POST", tokens, agent }).catch(() => undefined);
        expect(second).to.equal(undefined);
        expect(runs()).to.equal(1);
        agent.destroy();
        await stopped;
    });

    it("finishes what it has when it is stopped, and is not ready meanwhile", async () => {
        await serve("model", 1, { events: 40, eventMilliseconds: 10 });
        const streaming = deployment.call("/talk/1", { method: "POST", tokens });
        await deployment.until(() => runs() === 1);
        const stopped = deployment.entry.stop();
        const ready = await fetch(`http://${deployment.entry.addresses.readiness}/cyclamengap/readyz`);
        expect(ready.status).to.equal(503);
        expect((await streaming).isWhole).to.equal(true);
        await stopped;
    });
});
