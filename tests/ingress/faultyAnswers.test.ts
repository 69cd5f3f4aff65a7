/**
 * Failures that operators of similar systems met, played with real connections: answers that come twice or break off at
 * any place, streams that are slow or stall, and stops while requests arrive.
 */
import { expect } from "chai";
import { Agent, request as startRequest } from "node:http";
import { connect, type Socket } from "node:net";
import { headerNames } from "../../platform/names.js";
import { type SealedServer, type ServerFault, startSealedServer } from "../../src/standin/sealedServer.js";
import { type PlatformDeployment, startPlatformDeployment, validApiKey } from "../support/platformDeployment.js";

const tokens = "40,80";
const allEvents = [1, 2, 3, 4, 5, 6].map(id => `id: ${id}`);

describe("answers of faulty servers", () => {
    let deployment: PlatformDeployment;
    let servers: SealedServer[];

    const serve = async (service: string, count: number): Promise<SealedServer[]> => {
        const started = await Promise.all([...Array(count).keys()].map(index => startSealedServer(`i-${index}`)));
        servers.push(...started);
        started.forEach(server => deployment.listUpstream(server, service));
        await deployment.waitUntil(() =>
            deployment.logLines.filter(({ event }) => event === "upstream listed").length >= count
        );
        return started;
    };

    const runsOf = (requestId: string): number =>
        servers.flatMap(({ receivedRequests }) => receivedRequests)
            .filter(request => request.hasRun && request.requestId === requestId).length;

    const eventIdsOf = (body: string): string[] => body.match(/^id: \d+$/gm) ?? [];

    beforeEach(async () => {
        servers = [];
        deployment = await startPlatformDeployment();
    });

    afterEach(async () => {
        await deployment.stop();
        await Promise.all(servers.map(server => server.close()));
    });

    describe("that send a second answer late", () => {
        it("never give it to the next caller, on connections of callers and servers that are used again", async () => {
            const [server] = await serve("catalogue", 1);
            const agent = new Agent({ keepAlive: true, maxSockets: 1 });
            server?.queueFaults(...Array.from({ length: 20 }, () => "extra" as const));
            for (let turn = 0; turn < 20; turn += 1) {
                const requestId = `turn-${turn}`;
                const answer = await deployment.call(`/read/${turn}`, { requestId, agent });
                expect(answer.body).to.equal(`answer of ${server?.id} to ${requestId}`);
                expect(answer.headers[headerNames.requestId]).to.equal(requestId);
            }
            agent.destroy();
        });
    });

    describe("that break off", () => {
        const cuts: ServerFault[] = [
            "cut",
            "unframed",
            "cut-in-head",
            "cut-in-chunk-size",
            "cut-before-last-chunk",
        ];
        for (const cut of cuts) {
            it(`(${cut}) never look complete, and work that may have run is neither repeated nor called not run`, async () => {
                const [server] = await serve("catalogue", 1);
                server?.queueFaults(cut);
                const answer = await deployment.call("/book/1", { method: "POST", requestId: cut });
                expect(answer.status).to.equal(502);
                expect(answer.headers["retry-after"]).to.equal(undefined);
                expect(runsOf(cut)).to.equal(1);
            });

            it(`(${cut}) are completed by another server if the stream may be resumed`, async () => {
                const [first, second] = await serve("model", 2);
                let calls = 0;
                while (first?.receivedRequests.length === 0) {
                    first.queueFaults(cut);
                    calls += 1;
                    const answer = await deployment.call(`/talk/${calls}`, { method: "POST", tokenUsage: tokens });
                    expect(answer.isComplete).to.equal(true);
                    expect(eventIdsOf(answer.body)).to.deep.equal(allEvents);
                }
                expect(second?.receivedRequests.length).to.equal(calls);
            });
        }
    });

    describe("that are slow", () => {
        it("are delivered whole if no other server has room, and are not run twice", async () => {
            const [server] = await serve("model", 1);
            server?.queueFaults("slow");
            const answer = await deployment.call("/talk/1", {
                method: "POST",
                tokenUsage: tokens,
                requestId: "slow",
                timeoutMilliseconds: 6_000,
            });
            expect(answer.isComplete).to.equal(true);
            expect(eventIdsOf(answer.body)).to.deep.equal(allEvents);
            expect(runsOf("slow")).to.equal(1);
        });
    });

    describe("that stall but send a byte now and then", () => {
        it("go on at another server that has room", async () => {
            const [first, second] = await serve("model", 2);
            let calls = 0;
            while (first?.receivedRequests.length === 0) {
                first.queueFaults("drip");
                calls += 1;
                const answer = await deployment.call(`/talk/${calls}`, {
                    method: "POST",
                    tokenUsage: tokens,
                    timeoutMilliseconds: 6_000,
                });
                expect(answer.isComplete).to.equal(true);
                expect(eventIdsOf(answer.body)).to.deep.equal(allEvents);
            }
            // The entry also asks a silent server how it is.
            expect(second?.receivedRequests.filter(({ requestId }) => requestId !== "").length).to.equal(calls);
            await deployment.waitUntil(() => first?.abandonedRequestCount() === 1);
        });

        it("end with the caller's time limit if there is none", async () => {
            const [server] = await serve("model", 1);
            server?.queueFaults("drip");
            const startedAt = performance.now();
            const answer = await deployment.call("/talk/1", {
                method: "POST",
                tokenUsage: tokens,
                timeoutMilliseconds: 1_500,
            });
            expect(answer.isComplete).to.equal(false);
            expect(performance.now() - startedAt).to.be.within(1_300, 2_500);
            await deployment.waitUntil(() => server?.abandonedRequestCount() === 1);
        });
    });

    describe("that never end", () => {
        for (const fault of ["endless-head", "endless-body"] as const) {
            it(`(${fault}) are cut off after bounded bytes, and the next server answers`, async () => {
                const [first, second] = await serve("catalogue", 2);
                const memoryBefore = process.memoryUsage().rss;
                first?.queueFaults(...Array.from({ length: 30 }, () => fault));
                second?.queueFaults(...Array.from({ length: 30 }, () => fault));
                const answers = await Promise.all(
                    Array.from({ length: 30 }, (unused, index) => deployment.call(`/read/${index}`)),
                );
                answers.forEach(({ status }) => expect(status).to.be.oneOf([200, 502, 503]));
                expect((process.memoryUsage().rss - memoryBefore) / 1_048_576).to.be.lessThan(400);
                await deployment.waitUntil(async () => (await deployment.call("/read/after")).status === 200);
            });
        }
    });
});

describe("a planned stop while other entries poll the entry for records", () => {
    it("does not wait for their polls", async () => {
        const deployment = await startPlatformDeployment(true, 3);
        await deployment.waitUntil(() =>
            deployment.logLines.filter(({ event }) => event === "topic read").length >= 12
        );
        const server = await startSealedServer("i-0");
        // The others read this record from the first entry, and then wait there for the next.
        for (let seq = 1; seq <= 3; seq += 1) {
            deployment.listUpstream(server, `service-${seq}`, { seq, born: 1_700_000_000_000 + seq });
            await deployment.waitUntil(() =>
                deployment.logLines.filter(({ event }) => event === "upstream listed").length >= 3 * seq
            );
        }
        const startedAt = performance.now();
        await deployment.entry.stop();
        // Callers have 2.6 s to find another entry.
        expect(performance.now() - startedAt).to.be.lessThan(4_500);
        await deployment.stop();
        await server.close();
    });
});

describe("a planned stop while callers arrive", () => {
    let deployment: PlatformDeployment;
    let server: SealedServer;

    beforeEach(async () => {
        deployment = await startPlatformDeployment();
        server = await startSealedServer("i-0");
        deployment.listUpstream(server, "catalogue");
        await deployment.waitUntil(() => deployment.logLines.some(({ event }) => event === "upstream listed"));
    });

    afterEach(async () => {
        await deployment.stop();
        await server.close();
    });

    const requestText = (requestId: string): string =>
        [
            "GET /read/1 HTTP/1.1",
            "Host: portal.example",
            `${headerNames.requestId}: ${requestId}`,
            `${headerNames.remainingTimeout}: 2000`,
            `Authorization: Bearer ${validApiKey}`,
            "",
            "",
        ].join("\r\n");

    /** The status of the answer on the connection; undefined if it closes without one. */
    const statusOn = (socket: Socket): Promise<number | undefined> =>
        new Promise(resolve => {
            let text = "";
            socket.on("data", (chunk: Buffer) => {
                text += chunk.toString();
                if (text.includes("answer of") || text.includes("error")) {
                    resolve(Number(text.split(" ")[1]));
                }
            });
            socket.once("error", () => resolve(undefined));
            socket.once("close", () => resolve(undefined));
        });

    const openCallerConnection = async (): Promise<Socket> => {
        const [host, port] = deployment.entry.addresses.callers.split(":");
        const socket = connect({ host, port: Number(port) });
        await new Promise((resolve, reject) => {
            socket.once("connect", resolve);
            socket.once("error", reject);
        });
        return socket;
    };

    it("answers a request on a connection that was accepted in the last moment of the stop", async () => {
        const { entry } = deployment;
        const stopped = entry.stop();
        const statuses: Promise<number | undefined>[] = [];
        let isOver = false;
        void stopped.then(() => {
            isOver = true;
        });
        let index = 0;
        while (!isOver) {
            const socket = await openCallerConnection().catch(() => undefined);
            if (socket === undefined) {
                break;
            }
            index += 1;
            const requestId = `late-${index}`;
            statuses.push(statusOn(socket));
            // A caller sends its request some milliseconds after its connection was accepted.
            setTimeout(() => socket.write(requestText(requestId)), 15);
            await new Promise(resolve => setTimeout(resolve, 20));
        }
        await stopped;
        const received = await Promise.all(statuses);
        expect(received.length).to.be.greaterThan(20);
        expect(received.filter(status => status !== 200)).to.deep.equal([]);
    });

    it("answers requests that were sent one after the other on one connection without waiting", async () => {
        const socket = await openCallerConnection();
        let text = "";
        socket.on("data", (chunk: Buffer) => {
            text += chunk.toString();
        });
        const closed = new Promise(resolve => socket.once("close", resolve));
        socket.write(requestText("first") + requestText("second") + requestText("third"));
        const stopped = deployment.entry.stop();
        await closed;
        await stopped;
        expect(text.match(/answer of i-0 to (first|second|third)/g)).to.deep.equal([
            "answer of i-0 to first",
            "answer of i-0 to second",
            "answer of i-0 to third",
        ]);
    });

    it("runs no booking that arrives on a connection which it ended behind a stream", async () => {
        const streams = 40;
        const model = await startSealedServer("i-model", { events: 60, eventMilliseconds: 10 });
        deployment.listUpstream(model, "model", { slots: 100 });
        await deployment.waitUntil(() =>
            deployment.logLines.some(({ event, id }) => event === "upstream listed" && id === "i-model")
        );
        const fields = `${headerNames.tokenUsage}: 40,80\r\nContent-Length: 0\r\n\r\n`;
        const answered = new Set<string>();
        const follow = async (index: number): Promise<void> => {
            const socket = await openCallerConnection();
            const booking = `booking-${index}`;
            socket.on("error", () => undefined);
            let received = "";
            socket.on("data", (chunk: Buffer) => {
                received += chunk.toString();
                if (received.endsWith("0\r\n\r\n")) {
                    received = "";
                    socket.write(requestText(booking).replace("GET /read/1", "POST /book/1"));
                }
                if (received.includes(`answer of i-0 to ${booking}`)) {
                    answered.add(booking);
                }
            });
            const closed = new Promise(resolve => socket.once("close", resolve));
            socket.write(
                requestText(`stream-${index}`).replace("GET /read/1", "POST /talk/1").replace(/\r\n$/, fields),
            );
            await closed;
        };
        const callers = [...Array(streams).keys()].map(follow);
        await deployment.waitUntil(() => model.receivedRequests.length === streams);
        const stopped = deployment.entry.stop();
        await Promise.all(callers);
        await stopped;
        const ran = server.receivedRequests.map(({ requestId }) => requestId);
        expect(ran.filter(requestId => !answered.has(requestId))).to.deep.equal([]);
        await model.close();
    });

    it("answers requests whose bodies arrive slowly", async () => {
        const [ip, port] = deployment.entry.addresses.callers.split(":");
        const stopped = deployment.entry.stop();
        // The body ends when idle connections are being closed, and within the route's timeout.
        await new Promise(resolve => setTimeout(resolve, 1_500));
        const status = new Promise<number | undefined>((resolve, reject) => {
            const outgoing = startRequest({
                host: ip,
                port: Number(port),
                path: "/book/1",
                method: "POST",
                headers: {
                    "host": "portal.example",
                    [headerNames.requestId]: "slow-body",
                    [headerNames.remainingTimeout]: "4000",
                    "authorization": `Bearer ${validApiKey}`,
                    "content-length": "4",
                },
            }, response => {
                response.resume();
                resolve(response.statusCode);
            });
            outgoing.once("error", reject);
            outgoing.write("ab");
            setTimeout(() => outgoing.end("cd"), 1_600);
        });
        expect(await status).to.equal(200);
        await stopped;
    });
});
