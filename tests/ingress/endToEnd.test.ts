import { expect } from "chai";
import { Agent } from "node:http";
import { headerNames, topics } from "../../platform/names.js";
import { type SealedServer, startSealedServer } from "../../src/standin/sealedServer.js";
import { type PlatformDeployment, startPlatformDeployment, validApiKey } from "../support/platformDeployment.js";

const tokens = "40,80";

describe("an entry on the simulated platform", () => {
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
        deployment.waitUntil(() =>
            deployment.logLines.some(line => line.event === "upstream listed" && line.id === id)
        );

    /** Starts and lists `count` servers of a service, and waits until the entry knows them. */
    const serve = async (service: string, count: number, options = {}): Promise<SealedServer[]> => {
        const started = await startServers(count, options);
        started.forEach(server => deployment.listUpstream(server, service));
        await Promise.all(started.map(({ id }) => listed(id)));
        return started;
    };

    const runs = (requestId?: string): number =>
        servers.flatMap(({ receivedRequests }) => receivedRequests)
            .filter(({ hasRun, requestId: id }) => hasRun && (requestId === undefined || id === requestId)).length;

    beforeEach(async () => {
        servers = [];
        deployment = await startPlatformDeployment();
    });

    afterEach(async () => {
        await deployment.stop();
        await Promise.all(servers.map(server => server.close()));
    });

    describe("forwards requests", () => {
        it("unchanged except for the API key, account, target upstream and remaining time of the caller", async () => {
            const [server] = await serve("catalogue", 1);
            const response = await deployment.call("/book/shelf?x=1", {
                method: "POST",
                body: "a book",
                headers: {
                    [headerNames.clientAccount]: "forged",
                    "x-other": "kept",
                    [headerNames.targetUpstream]: "forged",
                },
            });
            expect(response.status).to.equal(200);
            expect(response.headers[headerNames.responseSeal]).to.equal(`seal-of-${server?.id}`);
            const [seen] = server?.receivedRequests ?? [];
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
            const response = await deployment.call("/book/special/1", { method: "POST" });
            expect(response.body).to.contain(`answer of ${other?.id}`);
        });

        it("and streams the response as complete events", async () => {
            await serve("model", 1);
            const response = await deployment.call("/talk/1", { method: "POST", tokenUsage: tokens });
            expect(response.isComplete).to.equal(true);
            expect(response.body.match(/^id: \d+$/gm)).to.deep.equal([1, 2, 3, 4, 5, 6].map(id => `id: ${id}`));
        });
    });

    describe("refuses", () => {
        it("unknown API keys and routes, and bodies over the limit", async () => {
            await serve("catalogue", 1);
            expect((await deployment.call("/read/1", { apiKey: "unknown" })).status).to.equal(401);
            expect((await deployment.call("/nowhere/1")).status).to.equal(404);
            expect((await deployment.call("/book/1", { method: "POST", body: "x".repeat(1_001) })).status).to.equal(
                413,
            );
            expect(runs()).to.equal(0);
        });

        it("requests with 503 and a retry time if no upstream is usable", async () => {
            const response = await deployment.call("/read/1");
            expect(response.status).to.equal(503);
            expect(Number(response.headers["retry-after"])).to.be.greaterThan(0);
        });

        it("all requests with 503 and reports not ready while it has no configuration", async () => {
            const empty = await startPlatformDeployment(false);
            const ready = await fetch(`http://${empty.entry.addresses.readiness}/cyclamengap/readyz`);
            expect(ready.status).to.equal(503);
            expect((await empty.call("/read/1")).status).to.equal(503);
            await empty.stop();
        });
    });

    describe("executes a non-idempotent request at most once", () => {
        for (const fault of ["cut", "unframed", "crossed", "unsealed"] as const) {
            it(`and reports an unknown outcome if the response was ${fault}`, async () => {
                const both = await serve("catalogue", 2);
                both.forEach(server => server.queueFaults(fault));
                const response = await deployment.call("/book/1", { method: "POST", requestId: "once" });
                expect(response.status).to.equal(502);
                expect(runs("once")).to.equal(1);
            });
        }

        it("and retries it if the first server states that it has not executed it", async () => {
            const both = await serve("catalogue", 2);
            both.forEach(server => server.queueFaults("not-run"));
            const response = await deployment.call("/book/1", { method: "POST", requestId: "unrun" });
            expect(response.status).to.equal(503);
            expect(runs("unrun")).to.equal(0);
            expect((await deployment.call("/book/2", { method: "POST" })).status).to.equal(200);
        });

        it("and uses another server if one is unreachable", async () => {
            const [gone] = await serve("catalogue", 2);
            await gone?.close();
            servers = servers.filter(server => server !== gone);
            for (let turn = 0; turn < 6; turn += 1) {
                expect((await deployment.call("/book/1", { method: "POST" })).status).to.equal(200);
            }
        });

        it("and never on a server that has taken over the address of another", async () => {
            const [server] = await serve("catalogue", 1);
            deployment.listUpstream({ ...server as SealedServer, id: "i-gone" }, "other");
            await listed("i-gone");
            const response = await deployment.call("/book/special/1", { method: "POST", requestId: "misled" });
            expect(response.status).to.equal(503);
            expect(runs("misled")).to.equal(0);
        });
    });

    describe("retries an idempotent request", () => {
        for (const fault of ["cut", "unframed", "crossed", "unsealed", "error", "not-run"] as const) {
            it(`if a response was ${fault}`, async () => {
                const [first, second] = await serve("catalogue", 2);
                first?.queueFaults(fault);
                second?.queueFaults(fault);
                const faulty = await deployment.call("/read/1");
                // Each server fails once, so the first request meets both faults and the next one none.
                expect(faulty.status).to.be.oneOf([500, 502, 503]);
                expect((await deployment.call("/read/2")).status).to.equal(200);
                first?.queueFaults(fault);
                second?.queueFaults();
                const responses = await Promise.all([deployment.call("/read/3"), deployment.call("/read/4")]);
                responses.forEach(response => expect(response.status).to.equal(200));
            });
        }

        for (const fault of ["cut", "unframed"] as const) {
            it(`and completes a stream that was ${fault}, with each event once`, async () => {
                const both = await serve("model", 2);
                both[0]?.queueFaults(fault);
                // The entry selects idle servers at random, so requests are repeated until one reaches the faulty
                // server.
                let calls = 0;
                while (both[0]?.receivedRequests.length === 0) {
                    calls += 1;
                    const response = await deployment.call(`/talk/${calls}`, { method: "POST", tokenUsage: tokens });
                    expect(response.isComplete).to.equal(true);
                    expect(response.body.match(/^id: \d+$/gm)).to.deep.equal([1, 2, 3, 4, 5, 6].map(id => `id: ${id}`));
                }
                expect(servers.flatMap(({ receivedRequests }) => receivedRequests).length).to.equal(calls + 1);
            });
        }
    });

    it("aborts a stream that no server can resume, and releases its reservations", async () => {
        const both = await serve("model", 2);
        for (let turn = 0; turn < 8; turn += 1) {
            // The entry starts with either server; if it starts with the first, the second fails a stream that has
            // started.
            both[0]?.queueFaults("cut");
            both[1]?.queueFaults("error");
            const response = await deployment.call(`/talk/${turn}`, { method: "POST", tokenUsage: tokens });
            expect(response.isComplete).to.equal(false);
        }
        const state = await (await fetch(`http://${deployment.entry.addresses.metrics}/state`)).json() as {
            groups: { running: number; }[];
        };
        expect(state.groups.map(({ running }) => running)).to.deep.equal([0]);
    });

    it("cancels the upstream request if the caller disconnects", async () => {
        const [server] = await serve("model", 1, { events: 400, eventMilliseconds: 5 });
        await deployment.call("/talk/1", { method: "POST", tokenUsage: tokens, disconnectAfterCharacters: 30 });
        await deployment.waitUntil(() => server?.abandonedRequestCount() === 1);
    });

    it("responds at the route's timeout if the server doesn't respond", async () => {
        const [server] = await serve("catalogue", 1);
        server?.queueFaults("mute");
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
        await deployment.waitUntil(() => deployment.logLines.some(line => line.version === 2));
        const startedAt = performance.now();
        const response = await deployment.call("/book/1", { method: "POST" });
        expect(response.status).to.equal(504);
        expect(performance.now() - startedAt).to.be.within(190, 600);
    });

    describe("follows the store", () => {
        it("to new configurations, never to older ones, even after its history was deleted", async () => {
            await serve("catalogue", 1);
            deployment.configure(5, { tenants: [{ name: "council", apiKeys: ["new-key"] }] });
            await deployment.waitUntil(() => deployment.logLines.some(line => line.version === 5));
            expect((await deployment.call("/read/1")).status).to.equal(401);
            deployment.configure(3);
            deployment.store.dropHistory(topics.operator);
            deployment.configure(6, { tenants: [{ name: "council", apiKeys: [validApiKey, "new-key"] }] });
            await deployment.waitUntil(() => deployment.logLines.some(line => line.version === 6));
            expect(deployment.logLines.some(line => line.version === 3)).to.equal(false);
            expect((await deployment.call("/read/1")).status).to.equal(200);
        });

        // An empty list of accounts was taken for none at all, which let every key in.
        it("and runs no request with an unknown key once the last account is taken away", async () => {
            const [server] = await serve("catalogue", 1);
            deployment.configure(5, { tenants: [] });
            await deployment.waitUntil(() => deployment.logLines.some(line => line.version === 5));
            for (const apiKey of [validApiKey, "key-that-nobody-has"]) {
                expect((await deployment.call("/book/1", { method: "POST", apiKey })).status).to.equal(401);
            }
            expect(server?.receivedRequests).to.have.length(0);
            deployment.configure(6, { tenants: undefined });
            await deployment.waitUntil(() => deployment.logLines.some(line => line.version === 6));
            expect((await deployment.call("/book/1", { method: "POST" })).status).to.equal(200);
        });

        it("and sends nothing to servers that are draining, removed or in an evacuated zone", async () => {
            const [draining, left, stays] = await serve("catalogue", 3);
            const away = await startSealedServer("i-away");
            servers.push(away);
            deployment.listUpstream(away, "catalogue", { zone: "meknes" });
            await listed("i-away");
            deployment.listUpstream(draining as SealedServer, "catalogue", { state: "draining" });
            deployment.store.put(topics.upstreams, left?.id ?? "", undefined);
            deployment.store.put(topics.operator, "evacuate/meknes", {});
            await deployment.waitUntil(() =>
                ["zone evacuated", "upstream unlisted"].every(event =>
                    deployment.logLines.some(line => line.event === event)
                ) && deployment.logLines.some(line => line.isDraining === true)
            );
            for (let turn = 0; turn < 8; turn += 1) {
                expect((await deployment.call("/read/1")).body).to.contain(`answer of ${stays?.id}`);
            }
        });

        it("and ignores records that can't be decoded", async () => {
            const [server] = await serve("catalogue", 1);
            deployment.store.putBytes(topics.upstreams, "i-bad", Buffer.from("not json"));
            deployment.store.putBytes(topics.upstreams, "i-half", Buffer.from("{\"service\": \"catalogue\"}"));
            await deployment.waitUntil(() =>
                deployment.logLines.filter(line => line.event === "record ignored").length >= 2
            );
            expect((await deployment.call("/read/1")).body).to.contain(`answer of ${server?.id}`);
        });

        it("and keeps serving during an outage, whose start and end it logs", async () => {
            await serve("catalogue", 1);
            deployment.store.setFault("reset");
            await deployment.waitUntil(() => deployment.logLines.some(line => line.event === "dependency lost"));
            expect((await deployment.call("/read/1")).status).to.equal(200);
            deployment.store.setFault(undefined);
            await deployment.waitUntil(() => deployment.logLines.some(line => line.event === "dependency regained"));
        });
    });

    it("waits for changes of the store with hanging polls, a few calls a second over all entries", async () => {
        const fleet = await startPlatformDeployment(true, 3);
        await fleet.waitUntil(() => fleet.logLines.filter(({ event }) => event === "topic read").length >= 12);
        const before = fleet.store.requestCount();
        await new Promise(resolve => setTimeout(resolve, 1_500));
        const calls = fleet.store.requestCount() - before;
        await fleet.stop();
        expect(calls).to.be.lessThan(12);
    });

    it("accepts no request on a connection whose stream ended after the stop", async () => {
        await serve("model", 1, { events: 300, eventMilliseconds: 10 });
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        const streaming = deployment.call("/talk/1", {
            method: "POST",
            tokenUsage: tokens,
            agent,
            timeoutMilliseconds: 8_000,
        });
        await deployment.waitUntil(() => runs() === 1);
        const stopped = deployment.entry.stop();
        expect((await streaming).isComplete).to.equal(true);
        const second = await deployment.call("/talk/2", { method: "POST", tokenUsage: tokens, agent }).catch(() =>
            undefined
        );
        expect(second).to.equal(undefined);
        expect(runs()).to.equal(1);
        agent.destroy();
        await stopped;
    });

    it("finishes running requests when it is stopped, and reports not ready meanwhile", async () => {
        await serve("model", 1, { events: 40, eventMilliseconds: 10 });
        const streaming = deployment.call("/talk/1", { method: "POST", tokenUsage: tokens });
        await deployment.waitUntil(() => runs() === 1);
        const stopped = deployment.entry.stop();
        const ready = await fetch(`http://${deployment.entry.addresses.readiness}/cyclamengap/readyz`);
        expect(ready.status).to.equal(503);
        expect((await streaming).isComplete).to.equal(true);
        await stopped;
    });
});
