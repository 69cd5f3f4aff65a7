/**
 * Answers that belong to no request or to another one: refusals that a server repeats, and errors in the place of the rest of
 * a stream.
 */
import { expect } from "chai";
import { headerNames } from "../../platform/names.js";
import { type PlatformDeployment, startPlatformDeployment } from "../support/platformDeployment.js";
import { answer, head, type Script, type ScriptedServer, startScriptedServer } from "../support/scriptedServer.js";

const tokens = "40,80";
/** Statuses that promise that a request has not run. */
const promises = [408, 421, 429, 503];
const earlierId = "an-earlier-request";

const events = (from: number, to: number): string =>
    [...Array(to - from + 1).keys()].map(index => `id: ${from + index}\ndata: piece ${from + index}\n\n`).join("");

const streamType = { "Content-Type": "text/event-stream" };

describe("stray answers", () => {
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

    beforeEach(async () => {
        servers = [];
        deployment = await startPlatformDeployment();
    });

    afterEach(async () => {
        await deployment.stop();
        await Promise.all(servers.map(server => server.close()));
    });

    const refusals: Record<string, (status: number) => string> = {
        "of an earlier request": status => answer(status, earlierId, "", { [headerNames.notRun]: "1" }),
        "that names no request": status =>
            answer(status, "", "", { [headerNames.notRun]: "1", [headerNames.requestId]: undefined }),
    };

    for (const [which, refusal] of Object.entries(refusals)) {
        for (const status of [421, 429, 503]) {
            it(`never call a request not run that a server runs after it wrote a refusal ${which} (${status})`, async () => {
                const script: Script = {
                    onRequest: (socket, { requestId }) => {
                        socket.write(refusal(status));
                        setTimeout(() => socket.write(answer(200, requestId, "done")), 20);
                    },
                };
                await serve("catalogue", script, script);
                const response = await deployment.call("/book/1", { method: "POST", requestId: "booking" });
                expect(promises).not.to.include(response.status);
                const runs = servers.flatMap(({ receivedIds }) => receivedIds).filter(id => id === "booking");
                expect(runs).to.have.length(1);
            });
        }
    }

    it("never call a request not run whose refusal was written before it arrived", async () => {
        const script: Script = {
            onConnection: socket => void socket.write(answer(503, earlierId, "", { [headerNames.notRun]: "1" })),
            onRequest: (socket, { requestId }) => void socket.write(answer(200, requestId, "done")),
        };
        await serve("catalogue", script, script);
        const response = await deployment.call("/book/1", { method: "POST", requestId: "booking" });
        expect(promises).not.to.include(response.status);
        expect(servers.flatMap(({ receivedIds }) => receivedIds).length).to.be.at.most(1);
    });

    it("don't hide a true refusal", async () => {
        const refusing: Script = {
            onRequest: (socket, { requestId }) =>
                void socket.write(answer(503, requestId, "", { [headerNames.notRun]: "1" })),
        };
        await serve("catalogue", refusing);
        expect((await deployment.call("/book/1", { method: "POST" })).status).to.equal(503);
    });

    const errorText = "the model has failed\n\n";
    const wrongRests: Record<string, (requestId: string) => string> = {
        "an error": id => answer(500, id, errorText),
        "an error without a seal": id => answer(502, id, errorText, { [headerNames.responseSeal]: undefined }),
        "a refusal of its own": id => answer(404, id, errorText),
        "a text with status 200": id => answer(200, id, errorText, { "Content-Type": "text/plain" }),
        "a text that looks like an event": id => answer(200, id, "data: failed\n\n", { "Content-Type": "text/plain" }),
        "no content": id => head(204, id),
        "a stream of text that is no event": id => answer(200, id, errorText, streamType),
        "a stream that holds an error's head": id =>
            answer(200, id, `${events(4, 4)}${answer(500, id, errorText)}`, streamType),
        "an event that an error's head breaks off": id =>
            answer(200, id, `id: 4\ndata: pie${answer(500, id, errorText)}`, streamType),
    };

    for (const [what, rest] of Object.entries(wrongRests)) {
        it(`never come into a stream that broke off, if the next server answers with ${what}`, async () => {
            const script: Script = {
                onRequest: (socket, { requestId, lastEventId }) => {
                    if (lastEventId > 0) {
                        socket.end(rest(requestId));
                        return;
                    }
                    socket.write(`${head(200, requestId, { ...streamType, "Content-Length": "5000" })}${events(1, 3)}`);
                    setTimeout(() => socket.destroy(), 20);
                },
            };
            await serve("model", script, script);
            const response = await deployment.call("/talk/1", { method: "POST", tokenUsage: tokens });
            expect(response.status).to.equal(200);
            expect(events(1, 4).startsWith(response.body), response.body).to.equal(true);
            expect(response.body.startsWith(events(1, 3))).to.equal(true);
            expect(response.isComplete).to.equal(false);
        });
    }

    it("never come into a stream without a length from the connection that ends it", async () => {
        const script: Script = {
            onRequest: (socket, { requestId, lastEventId }) =>
                void socket.end(
                    lastEventId > 0
                        ? answer(200, requestId, events(lastEventId + 1, 6), streamType)
                        : `${head(200, requestId, streamType)}${events(1, 3)}${answer(500, requestId, errorText)}`,
                ),
        };
        await serve("model", script, script);
        const response = await deployment.call("/talk/1", { method: "POST", tokenUsage: tokens });
        expect(response.body).to.equal(events(1, 6));
        expect(response.isComplete).to.equal(true);
    });
});
