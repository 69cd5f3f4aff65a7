/**
 * The ways in which answers of servers end: sound ones, each of which a caller gets whole, and broken ones, each of which logs
 * and metrics tell apart.
 */
import { expect } from "chai";
import type { Socket } from "node:net";
import { headerNames } from "../../platform/names.js";
import { type CallerAnswer, type PlatformDeployment, startPlatformDeployment } from "../support/platformDeployment.js";
import { answer, head, type Script, type ScriptedServer, startScriptedServer } from "../support/scriptedServer.js";

const chunked = { "Transfer-Encoding": "chunked" };

const chunk = (text: string): string => text === "" ? "" : `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
const streamType = { "Content-Type": "text/event-stream" };
const lastEvent = 4;

/** The events behind `lastEventId`. */
const eventsAfter = (lastEventId: number, lineEnd = "\n"): string =>
    [...Array(lastEvent - lastEventId).keys()].map(index => lastEventId + 1 + index)
        .map(id => `id: ${id}${lineEnd}data: piece ${id}${lineEnd}${lineEnd}`).join("");

/** An answer in HTTP/1.0, which has no chunks. */
const headOfHttp10 = (requestId: string, fields = {}): string => head(200, requestId, fields).replace("/1.1", "/1.0");

describe("the end of an answer", () => {
    let deployment: PlatformDeployment;
    let servers: ScriptedServer[];

    const serve = async (service: string, ...scripts: Script[]): Promise<ScriptedServer[]> => {
        servers = await Promise.all(scripts.map((script, index) => startScriptedServer(`i-${index}`, script)));
        servers.forEach(server => deployment.listUpstream(server, service));
        await deployment.waitUntil(() =>
            deployment.logLines.filter(({ event }) => event === "upstream listed").length >= servers.length
        );
        return servers;
    };

    const book = (fields = {}): Promise<CallerAnswer> =>
        deployment.call("/book/1", { method: "POST", requestId: "booking", ...fields });
    const talk = (): Promise<CallerAnswer> =>
        deployment.call("/talk/1", { method: "POST", tokenUsage: "40,80", requestId: "talk" });
    const runs = (): string[] => servers.flatMap(({ receivedIds }) => receivedIds);
    const metricsText = async (): Promise<string> =>
        (await fetch(`http://${deployment.entry.addresses.metrics}/metrics`)).text();

    beforeEach(async () => {
        servers = [];
        deployment = await startPlatformDeployment();
    });

    afterEach(async () => {
        await deployment.stop();
        await Promise.all(servers.map(server => server.close()));
    });

    const brokenEnds: Record<string, { write: (socket: Socket, requestId: string) => void; shows: object; }> = {
        "a close before the stated length": {
            write: (socket, id) => void socket.end(`${head(200, id, { "Content-Length": "20" })}booked`),
            shows: { framing: "length", end: "closed", bodyBytes: 6 },
        },
        "a close before the last chunk": {
            write: (socket, id) => void socket.end(`${head(200, id, chunked)}${chunk("booked")}`),
            shows: { framing: "chunks", end: "closed", bodyBytes: 6 },
        },
        "a reset before the stated length": {
            write: (socket, id) => {
                socket.write(`${head(200, id, { "Content-Length": "20" })}booked`);
                setTimeout(() => socket.resetAndDestroy(), 20);
            },
            shows: { framing: "length", end: "reset", bodyBytes: 6 },
        },
        "a reset of an answer without a length": {
            write: (socket, id) => {
                socket.write(`${head(200, id)}booked`);
                setTimeout(() => socket.resetAndDestroy(), 20);
            },
            shows: { framing: "connection", end: "reset", bodyBytes: 6 },
        },
        "a chunk size that is no number": {
            write: (socket, id) => void socket.write(`${head(200, id, chunked)}${chunk("booked")}next\r\n`),
            shows: { framing: "chunks", end: "invalid", bodyBytes: 6 },
        },
        "a silence before the stated length": {
            write: (socket, id) => void socket.write(`${head(200, id, { "Content-Length": "20" })}booked`),
            shows: { framing: "length", end: "silent", bodyBytes: 6 },
        },
    };

    for (const [what, { write, shows }] of Object.entries(brokenEnds)) {
        it(`doesn't look complete, and is told apart in log and metrics: ${what}`, async () => {
            await serve("catalogue", { onRequest: (socket, { requestId }) => write(socket, requestId) });
            // The time limit of an attempt that may be repeated ends before that of its request.
            const { status, headers } = await deployment.call("/read/1");
            expect(status).to.equal(502);
            expect(headers["retry-after"]).to.equal(undefined);
            const line = deployment.logLines.find(({ event }) => event === "attempt failed");
            expect(line).to.include(shows);
            const { framing, end } = shows as { framing: string; end: string; };
            expect(await metricsText()).to.include(`ingress_bodies_cut_total{framing="${framing}",end="${end}"} 1`);
        });
    }

    const soundAnswers: Record<string, (socket: Socket, requestId: string) => void> = {
        "a length, on a connection that stays open": (socket, id) => void socket.write(answer(200, id, "booked")),
        "a length, and a close": (socket, id) => void socket.end(answer(200, id, "booked")),
        "a length, and a reset behind it": (socket, id) =>
            void socket.write(answer(200, id, "booked"), () => setTimeout(() => socket.resetAndDestroy(), 5)),
        "chunks": (socket, id) => void socket.write(`${head(200, id, chunked)}${chunk("boo")}${chunk("ked")}0\r\n\r\n`),
        "chunks, and a close": (socket, id) => void socket.end(`${head(200, id, chunked)}${chunk("booked")}0\r\n\r\n`),
        "chunks with extensions and trailers": (socket, id) =>
            void socket.write(`${head(200, id, chunked)}6;a=b\r\nbooked\r\n0;c\r\nX-Sum: 1\r\n\r\n`),
        "no length, and a close": (socket, id) => void socket.end(`${head(200, id)}booked`),
        "no length and Connection: close, and a close": (socket, id) =>
            void socket.end(`${head(200, id, { Connection: "close" })}booked`),
        "no length in HTTP/1.0, and a close": (socket, id) => void socket.end(`${headOfHttp10(id)}booked`),
        "no length, and a close a while behind the last byte": (socket, id) => {
            socket.write(`${head(200, id)}booked`);
            setTimeout(() => socket.end(), 30);
        },
        "a length in HTTP/1.0": (socket, id) => void socket.end(`${headOfHttp10(id, { "Content-Length": "6" })}booked`),
        "interim answers before it": (socket, id) =>
            void socket.write(`HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\n\r\n${answer(200, id, "booked")}`),
    };

    for (const [what, write] of Object.entries(soundAnswers)) {
        it(`is seen, and the answer delivered whole, with ${what}`, async () => {
            await serve("catalogue", { onRequest: (socket, { requestId }) => write(socket, requestId) });
            const { status, body, isComplete, headers } = await book();
            expect({ status, body, isComplete }).to.deep.equal({ status: 200, body: "booked", isComplete: true });
            expect(headers[headerNames.responseSeal]).to.equal("seal");
            expect(runs()).to.deep.equal(["booking"]);
        });
    }

    const emptyAnswers: Record<string, { method: string; write: (id: string) => string; status: number; }> = {
        "length 0": { method: "POST", write: id => answer(200, id, ""), status: 200 },
        "status 204": { method: "POST", write: id => head(204, id), status: 204 },
        "status 304": { method: "GET", write: id => head(304, id, { ETag: "e" }), status: 304 },
        "method HEAD": { method: "HEAD", write: id => head(200, id, { "Content-Length": "6" }), status: 200 },
        "method HEAD and no length": { method: "HEAD", write: id => head(200, id), status: 200 },
        "no length and no byte, and a close": { method: "POST", write: id => head(200, id), status: 200 },
    };

    for (const [what, { method, write, status }] of Object.entries(emptyAnswers)) {
        it(`is seen, and the answer delivered, without a body (${what})`, async () => {
            const closes = what.endsWith("a close");
            await serve("catalogue", {
                onRequest: (socket, { requestId }) => void socket[closes ? "end" : "write"](write(requestId)),
            });
            const given = await book({ method });
            expect([given.status, given.body, given.isComplete]).to.deep.equal([status, "", true]);
            expect(runs()).to.deep.equal(["booking"]);
        });
    }

    type Ending = (body: string) => string;
    const whole: Record<string, { head: (id: string) => string; frame: Ending; closes: boolean; }> = {
        "chunks": {
            head: id => head(200, id, { ...streamType, ...chunked }),
            frame: body => `${chunk(body)}0\r\n\r\n`,
            closes: false,
        },
        "no length": {
            head: id => head(200, id, { ...streamType, Connection: "close" }),
            frame: body => body,
            closes: true,
        },
        "no length in HTTP/1.0": { head: id => headOfHttp10(id, streamType), frame: body => body, closes: true },
    };
    const streamBodies: Record<string, (lastEventId: number) => string> = {
        "the last event's empty line": lastEventId => eventsAfter(lastEventId),
        "line ends CRLF": lastEventId => eventsAfter(lastEventId, "\r\n"),
        "line ends CR": lastEventId => eventsAfter(lastEventId, "\r"),
        "a comment behind the last event": lastEventId => `${eventsAfter(lastEventId)}: done\n\n`,
        "a comment without an empty line": lastEventId => `${eventsAfter(lastEventId)}: done\n`,
        "a comment without a line end": lastEventId => `${eventsAfter(lastEventId)}: done`,
        "a last event without its empty line": lastEventId => eventsAfter(lastEventId).replace(/\n\n$/, "\n"),
        "a last event without its line end": lastEventId => eventsAfter(lastEventId).replace(/\n\n$/, ""),
        "one empty line more": lastEventId => `${eventsAfter(lastEventId)}\n`,
        "an event without an id": lastEventId => `${eventsAfter(lastEventId)}data: [DONE]\n\n`,
        "a byte order mark before the first": lastEventId =>
            `${lastEventId === 0 ? "\u00ef\u00bb\u00bf" : ""}${eventsAfter(lastEventId)}`,
    };

    const streamScript = (form: keyof typeof whole, body: (lastEventId: number) => string): Script => ({
        onRequest: (socket, { requestId, lastEventId }) => {
            const { head: headOf, frame, closes } = whole[form] ?? expect.fail();
            const text = headOf(requestId) + frame(body(lastEventId));
            socket.write(Buffer.from(text, "latin1"), () => closes && socket.end());
        },
    });

    for (const form of Object.keys(whole)) {
        for (const [what, body] of Object.entries(streamBodies)) {
            it(`is seen, and the stream delivered whole, with ${form} and ${what}`, async () => {
                await serve("model", streamScript(form, body), streamScript(form, body));
                const given = await talk();
                expect(given.body).to.equal(Buffer.from(body(0), "latin1").toString("utf8"));
                expect([given.status, given.isComplete]).to.deep.equal([200, true]);
            });
        }

        it(`is seen, and the stream delivered whole, of a run with ${form} that is resumed after its last event`, async () => {
            const broken: Script = {
                onRequest: (socket, { requestId }) => {
                    socket.write(`${head(200, requestId, { ...streamType, ...chunked })}${chunk(eventsAfter(0))}`);
                    setTimeout(() => socket.destroy(), 20);
                },
            };
            const sound = streamScript(form, eventsAfter);
            let isFirst = true;
            const either: Script = {
                onRequest: (socket, request) => {
                    const script = isFirst ? broken : sound;
                    isFirst = false;
                    script.onRequest(socket, request);
                },
            };
            await serve("model", either, either);
            const given = await talk();
            expect([given.status, given.body, given.isComplete]).to.deep.equal([200, eventsAfter(0), true]);
        });
    }

    describe("that only its connection marks", () => {
        const unmarkedHead = (id: string, fields = {}): string => head(200, id, { Connection: "close", ...fields });
        const broken = (partialBody: string, end: (socket: Socket) => void, fields = {}): Script => ({
            onRequest: (socket, { requestId }) =>
                void socket.write(
                    `${unmarkedHead(requestId, fields)}${partialBody}`,
                    () => setTimeout(end, 20, socket),
                ),
        });
        /** Closes the port and all connections, as the end of a process does. */
        const die = (): void => void servers[0]?.close();
        const reset = (socket: Socket): void => void socket.resetAndDestroy();

        it("is passed on as it was, since this entry hasn't seen more of it", async () => {
            await serve("catalogue", broken("booked", socket => socket.end()));
            const { status, body, headers } = await book();
            expect([status, body]).to.deep.equal([200, "booked"]);
            expect(headers).to.include({ connection: "close" });
            expect(headers).not.to.have.any.keys("content-length", "transfer-encoding");
        });

        for (const [what, end] of Object.entries({ "dies": die, "resets the connection": reset })) {
            it(`doesn't make a booking look answered whose server ${what} halfway`, async () => {
                await serve("catalogue", broken("boo", end));
                const { status, headers } = await book();
                expect(status).to.equal(502);
                expect(headers["retry-after"]).to.equal(undefined);
                expect(runs()).to.deep.equal(["booking"]);
            });

            it(`doesn't end a stream whose server ${what} halfway, which goes on at another one`, async () => {
                let first: Script | undefined = broken(eventsAfter(0).slice(0, -40), end, streamType);
                const rest = streamScript("no length", eventsAfter);
                const script: Script = {
                    onRequest: (socket, request) => {
                        const next = first ?? rest;
                        first = undefined;
                        next.onRequest(socket, request);
                    },
                };
                await serve("model", script, script);
                const dying = deployment.waitUntil(() => runs().length > 0).then(() =>
                    servers.sort((one, other) => other.receivedIds.length - one.receivedIds.length)
                );
                const [given] = await Promise.all([talk(), dying]);
                expect([given.status, given.body, given.isComplete]).to.deep.equal([200, eventsAfter(0), true]);
            });
        }

        it("is no orderly end for the caller of a stream that breaks off for good", async () => {
            const script = broken(eventsAfter(0).slice(0, -40), reset, streamType);
            await serve("model", script, script);
            const outcome = await talk().then(({ isComplete }) => isComplete, (error: Error) => error.message);
            expect(outcome).to.equal("read ECONNRESET");
        });

        it("is believed of a leaving server, which may stop listening before its last answers", async () => {
            const [server] = await serve("catalogue", broken("booked", die));
            const answered = book();
            await deployment.waitUntil(() => runs().length > 0);
            deployment.listUpstream(server ?? expect.fail(), "catalogue", { state: "draining" });
            expect((await answered).body).to.equal("booked");
        });
    });
});
