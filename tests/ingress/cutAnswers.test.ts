/**
 * Answers of servers that stop at any byte: in the head, in an interim answer before it, in a body or in the trailers. None may
 * be taken for whole.
 */
import { expect } from "chai";
import { Agent, type IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { headerNames } from "../../platform/names.js";
import { platformHeaderAdapter } from "../../platform/requestHeaders.js";
import { isWholeBody } from "../../src/coordination/ingress/upstreamAttempt.js";
import { createPeerReads } from "../../src/coordination/peerReads.js";
import { createSender } from "../../src/transport/ingress/upstreamSender.js";
import { startPlatformDeployment } from "../support/platformDeployment.js";
import { answer, head, startScriptedServer } from "../support/scriptedServer.js";
import { listedUpstream } from "../support/upstreams.js";

const events = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
const chunk = (text: string): string => `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
const chunked = { "Transfer-Encoding": "chunked" };
const stream = { "Content-Type": "text/event-stream" };

const wholeAnswers: Record<string, (requestId: string) => string> = {
    "with a length": id => answer(200, id, "booked"),
    "with the length in the first field": id =>
        `HTTP/1.1 200 OK\r\nContent-Length: 6\r\n${headerNames.requestId}: ${id}\r\n${headerNames.responseSeal}: s\r\n\r\nbooked`,
    "in chunks": id => `${head(200, id, chunked)}${chunk("booked")}0\r\n\r\n`,
    "in chunks with trailers": id =>
        `${head(200, id, { ...chunked, "Trailer": "X-Sum" })}${chunk("booked")}0\r\nX-Sum: 5\r\n\r\n`,
    "behind an interim answer": id => `HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n${answer(200, id, "booked")}`,
    "behind two interim answers": id =>
        `HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n${answer(200, id, "booked")}`,
    "of a stream": id => `${head(200, id, { ...stream, ...chunked })}${chunk(events)}0\r\n\r\n`,
};

const endings: Record<string, (socket: Socket) => void> = {
    "closes": socket => void socket.end(),
    "resets": socket => void socket.resetAndDestroy(),
};

/** Whether the entry takes the answer for whole. */
const isTakenForWhole = async (address: string, requestId: string): Promise<boolean> => {
    const request = { method: "GET", url: "/", headers: {}, rawHeaders: [headerNames.requestId, requestId] };
    const reads = { ...createPeerReads(performance), onFinished: () => undefined };
    const send = createSender(platformHeaderAdapter, reads, request as unknown as IncomingMessage, Buffer.alloc(0));
    const metadata = { patienceMilliseconds: 1_000, clientAccount: undefined, lastEventId: undefined };
    const timeouts = { headersMilliseconds: 1_000, idleMilliseconds: 1_000 };
    const sent = await send(listedUpstream({ id: "i-0", address }), metadata, timeouts, new AbortController().signal);
    if (sent.isErr()) {
        return false;
    }
    // eslint-disable-next-line @typescript-eslint/no-unused-vars
    for await (const part of sent.value.body) {
        // Only the end of the body tells whether it is whole.
    }
    return isWholeBody(sent.value.ending());
};

describe("an answer that stops", () => {
    for (const [what, whole] of Object.entries(wholeAnswers)) {
        for (const [how, end] of Object.entries(endings)) {
            it(`(${what}) is not taken for whole, at whatever byte its server ${how}`, async () => {
                let length = 0;
                const server = await startScriptedServer("i-0", {
                    onRequest: (socket, { requestId }) =>
                        void socket.write(whole(requestId).slice(0, length), () => end(socket)),
                });
                const full = whole("r").length;
                const taken: number[] = [];
                for (length = 0; length < full; length += 1) {
                    if (await isTakenForWhole(server.address, "r")) {
                        taken.push(length);
                    }
                }
                expect(taken).to.deep.equal([]);
                expect(server.receivedIds).to.have.length(full);
                if (how === "closes") {
                    expect(await isTakenForWhole(server.address, "r")).to.equal(true);
                }
                await server.close();
            }).timeout(30_000);
        }
    }

    for (const coding of ["identity", "gzip", "chunked, gzip", "gzip, chunked"]) {
        it(`is not taken for whole if it is coded as "${coding}", whose end can't be told`, async () => {
            const server = await startScriptedServer("i-0", {
                onRequest: (socket, { requestId }) =>
                    void socket.end(`${head(200, requestId, { "Transfer-Encoding": coding })}book`),
            });
            expect(await isTakenForWhole(server.address, "r")).to.equal(false);
            await server.close();
        });
    }

    it("gives callers on kept connections a failure, and the next answer is theirs", async () => {
        const deployment = await startPlatformDeployment();
        const wholes = Object.values(wholeAnswers).slice(0, -1);
        let calls = 0;
        const server = await startScriptedServer("i-0", {
            onRequest: (socket, { requestId }) => {
                const whole = (wholes[calls % wholes.length] ?? expect.fail())(requestId);
                // Every other answer is whole, so that the server stays in use.
                const length = requestId.startsWith("cut") ? Math.floor(calls * 7.3) % whole.length : whole.length;
                socket.write(whole.slice(0, length), () => socket.end());
            },
        });
        deployment.listUpstream(server, "catalogue");
        await deployment.waitUntil(() => deployment.logLines.some(({ event }) => event === "upstream listed"));
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        for (calls = 0; calls < 200; calls += 1) {
            const cut = await deployment.call("/book/1", { method: "POST", requestId: `cut-${calls}`, agent });
            expect(cut.status).to.equal(502);
            const next = await deployment.call("/book/1", { method: "POST", requestId: `whole-${calls}`, agent });
            expect([next.status, next.body, next.headers[headerNames.requestId]])
                .to.deep.equal([200, "booked", `whole-${calls}`]);
        }
        agent.destroy();
        await deployment.stop();
        await server.close();
    }).timeout(30_000);
});
