/**
 * Upstreams that state how many requests they take a second, behind several entries with real connections.
 */
import { expect } from "chai";
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

    it("gets no more than that from all entries together, is used up to it, and the others get the rest", async () => {
        const limited = ["plain-1", "model-1"].map(serverOf);
        limited.forEach(server => server.stateLimit(String(requestsPerSecond)));
        const statedAt = performance.now();
        const statuses = await Promise.all(
            [...Array(entryCount).keys()].map(entry => callFor(settleMilliseconds + windowMilliseconds + 500, entry)),
        );
        for (const server of limited) {
            const arrivals = server.receivedRequests.map(({ receivedAt }) => receivedAt)
                .filter(at => at >= statedAt + settleMilliseconds);
            expect(mostInAnyWindow(arrivals), server.id).to.be.at.most(allowedPerWindow);
            expect(arrivals.length, server.id).to.be.at.least(
                usedShareOfLimit * requestsPerSecond * windowMilliseconds / 1_000,
            );
        }
        expect(statuses.flat().filter(status => status !== 200)).to.deep.equal([]);
    });

    it("gets its full share again once it states none", async () => {
        servers.forEach(server => server.stateLimit(undefined));
        const { receivedRequests } = serverOf("model-1");
        const receivedLimited = receivedRequests.length;
        const startedAt = performance.now();
        await Promise.all([...Array(entryCount).keys()].map(entry => callFor(2_000, entry)));
        const perSecond = (receivedRequests.length - receivedLimited) / (performance.now() - startedAt) * 1_000;
        expect(perSecond).to.be.at.least(2 * requestsPerSecond);
    });
});
