/**
 * Upstreams that state how many requests they take a second, behind several entries with real connections.
 */
import { expect } from "chai";
import { explainRequest } from "../../src/coordination/ingress/explanation.js";
import { type SealedServer, startSealedServer } from "../../src/standin/sealedServer.js";
import { type PlatformDeployment, startPlatformDeployment } from "../support/platformDeployment.js";

const entryCount = 3;
const requestsPerSecond = 2;
/** The users count from this long after a limit was first stated. */
const settleMilliseconds = 3_000;
const windowMilliseconds = 4_000;
/** One and a half times what the limit allows in a window, and five requests. */
const allowedPerWindow = 1.5 * requestsPerSecond * windowMilliseconds / 1_000 + 5;
const usedShareOfLimit = 0.7;

describe("an upstream that states a limit", () => {
    let deployment: PlatformDeployment;
    let servers: SealedServer[];
    const callersGone = new AbortController();

    const serverOf = (id: string): SealedServer => servers.find(server => server.id === id) ?? expect.fail(id);

    /** Calls a stream and a plain service by turns through one entry, until `milliseconds` have passed. */
    const callFor = async (milliseconds: number, entry: number): Promise<number[]> => {
        const statuses: number[] = [];
        const startedAt = performance.now();
        while (performance.now() - startedAt < milliseconds && !callersGone.signal.aborted) {
            const stream = await deployment.call("/talk/x", { method: "POST", body: "x", tokenUsage: "100,20", entry });
            const plain = await deployment.call("/read/x", { entry });
            statuses.push(stream.status, plain.status);
        }
        return statuses;
    };

    const mostInAnyWindow = (arrivals: number[]): number =>
        Math.max(
            0,
            ...arrivals.map(start => arrivals.filter(at => at >= start && at < start + windowMilliseconds).length),
        );

    before(async () => {
        servers = await Promise.all(["plain-1", "plain-2", "model-1", "model-2"].map(id => startSealedServer(id)));
        deployment = await startPlatformDeployment(true, entryCount);
        servers.forEach(server =>
            deployment.listUpstream(server, server.id.startsWith("plain") ? "catalogue" : "model")
        );
        await deployment.waitUntil(() =>
            deployment.logLines.filter(({ event }) => event === "upstream listed").length >= servers.length * entryCount
        );
    });

    after(async () => {
        callersGone.abort();
        await deployment.stop();
        await Promise.all(servers.map(server => server.close()));
    });

    describe("while three entries call it and others", () => {
        let arrivals: Map<string, number[]>;
        let statuses: number[];

        before(async () => {
            const limited = ["plain-1", "model-1"].map(serverOf);
            limited.forEach(server => server.stateLimit(String(requestsPerSecond)));
            const statedAt = performance.now();
            const called = await Promise.all(
                [...Array(entryCount).keys()].map(entry =>
                    callFor(settleMilliseconds + windowMilliseconds + 500, entry)
                ),
            );
            statuses = called.flat();
            arrivals = new Map(limited.map(server => [
                server.id,
                server.receivedRequests.map(({ receivedAt }) => receivedAt)
                    .filter(at => at >= statedAt + settleMilliseconds),
            ]));
        });

        it("gets no more than that from all entries together, and the others get the rest", () => {
            arrivals.forEach((at, id) => expect(mostInAnyWindow(at), id).to.be.at.most(allowedPerWindow));
            expect(statuses.filter(status => status !== 200)).to.deep.equal([]);
        });

        for (const id of ["plain-1", "model-1"]) {
            it(`is used up to it (${id})`, () => {
                expect(arrivals.get(id)?.length).to.be.at.least(
                    usedShareOfLimit * requestsPerSecond * windowMilliseconds / 1_000,
                );
            });
        }
    });

    describe("while streams elsewhere are cut and plain calls elsewhere fail", () => {
        it("gets no more than that with the resumed streams and the retries", async () => {
            const [plain, model] = ["plain-1", "model-1"].map(serverOf) as [SealedServer, SealedServer];
            serverOf("model-2").queueFaults(...Array<"cut">(1_000).fill("cut"));
            serverOf("plain-2").queueFaults(...Array<"error">(1_000).fill("error"));
            const since = performance.now();
            await Promise.all([...Array(entryCount).keys()].map(entry => callFor(windowMilliseconds + 500, entry)));
            for (const { id, receivedRequests } of [plain, model]) {
                const received = receivedRequests.filter(({ receivedAt }) => receivedAt >= since);
                expect(mostInAnyWindow(received.map(({ receivedAt }) => receivedAt)), id).to.be.at.most(
                    allowedPerWindow,
                );
                expect(received.length, id).to.be.at.least(
                    usedShareOfLimit * requestsPerSecond * windowMilliseconds / 1_000,
                );
            }
        });
    });

    describe("like all others of its service", () => {
        it("lets callers be refused at once, with the time until it takes one and the limits in the log", async () => {
            servers.forEach(server => server.stateLimit("0.4"));
            const path = "/read/x";
            let calls = 0;
            // The test before has used up this second's lines for failures.
            await deployment.waitUntil(async () => {
                calls += 1;
                await deployment.call(path, { requestId: `refused-${calls}` });
                return explainRequest(`refused-${calls}`, deployment.logLines)?.kind === "load";
            });
            const requestId = "over-all-limits";
            const calledAt = performance.now();
            const answer = await deployment.call(path, { requestId });
            expect(performance.now() - calledAt).to.be.lessThan(250);
            expect(answer.status).to.equal(503);
            expect(Number(answer.headers["retry-after"])).to.be.within(0.3, 3);
            expect(JSON.parse(answer.body)).to.deep.nested.include({
                "error.code": "upstreams-limited",
                "error.outcome": "not-run",
            });
            const explanation = explainRequest(requestId, deployment.logLines);
            expect(explanation?.kind).to.equal("load");
            expect(explanation?.context.map(({ event }) => event)).to.include("upstream states a limit");
        });
    });

    describe("once it states none any more", () => {
        it("gets more than that again", async () => {
            servers.forEach(server => server.stateLimit(undefined));
            const { receivedRequests } = serverOf("model-1");
            const receivedLimited = receivedRequests.length;
            const startedAt = performance.now();
            await Promise.all([...Array(entryCount).keys()].map(entry => callFor(2_000, entry)));
            const perSecond = (receivedRequests.length - receivedLimited) / (performance.now() - startedAt) * 1_000;
            expect(perSecond).to.be.at.least(2 * requestsPerSecond);
        });
    });
});
