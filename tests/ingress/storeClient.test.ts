/**
 * The client of the platform's store, at a store that leaves calls without an answer.
 */
import { expect } from "chai";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { topics } from "../../platform/names.js";
import { createStoreClient, type StoreClient } from "../../platform/storeClient.js";

const followedTopics = Object.values(topics);

describe("client of the platform's store", () => {
    let server: Server;
    let lifetime: AbortController;
    let client: StoreClient;
    let unanswered: ServerResponse[];
    let connections: Socket[];
    /** Connections on which nothing is answered any more. */
    let isSilent: (connection: Socket) => boolean;

    beforeEach(async () => {
        unanswered = [];
        connections = [];
        isSilent = () => false;
        lifetime = new AbortController();
        // Long polls get no answer, other reads say that there is nothing new.
        server = createServer((request, response) => {
            const query = new URL(request.url ?? "", "http://store").searchParams;
            if (Number(query.get("waitMs")) > 0 || isSilent(request.socket)) {
                unanswered.push(response);
                return;
            }
            response.end(Buffer.alloc(16));
        });
        server.on("connection", connection => connections.push(connection));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        client = createStoreClient(`127.0.0.1:${(server.address() as AddressInfo).port}`, lifetime.signal);
    });

    afterEach(() => {
        lifetime.abort();
        server.closeAllConnections();
        server.close();
    });

    it("reads while long polls of all followed topics wait", async () => {
        followedTopics.forEach(topic => void client.read(topic, 0, 25_000, lifetime.signal));
        while (unanswered.length < followedTopics.length) {
            await new Promise(resolve => setImmediate(resolve));
        }
        const result = await client.read(topics.operator, 0, 0, lifetime.signal);
        expect(result.isOk()).to.equal(true);
    });

    it("loses one call at most to connections that fall silent", async () => {
        const read = async (): Promise<boolean> => (await client.read(topics.operator, 0, 0, lifetime.signal)).isOk();
        expect((await Promise.all(Array.from({ length: 4 }, read))).every(isOk => isOk)).to.equal(true);
        const silent = new Set(connections);
        isSilent = socket => silent.has(socket);
        const answered = [await read(), await read(), await read()];
        expect(answered.slice(1)).to.deep.equal([true, true]);
    });
});
