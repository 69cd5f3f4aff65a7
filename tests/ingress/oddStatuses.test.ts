/**
 * Servers that answer with a status outside 200 to 599. Guards against callers that get it as an answer or as a reset of their
 * connection, and against work that is taken for not run or for run because of it.
 */
import { expect } from "chai";
import { platformEngines } from "../../platform/engineClient.js";
import { headerNames, topics } from "../../platform/names.js";
import { createStoreClient } from "../../platform/storeClient.js";
import type { ServiceAttempt } from "../../src/coordination/attempts.js";
import { createServiceClient } from "../../src/transport/serviceClient.js";
import { type PlatformDeployment, startPlatformDeployment } from "../support/platformDeployment.js";
import { type ScriptedServer, startScriptedServer } from "../support/scriptedServer.js";

const statuses = ["000", "099", "0", "-1", "101", "199", "600", "999", "2000"];
/** Promises of an entry that a request has not run. */
const promises = [408, 421, 429, 503];
const streamType = { "Content-Type": "text/event-stream" };
const event = "id: 1\ndata: piece 1\n\n";

/** A whole response with a status line that no check has seen. */
const rawAnswer = (status: string, requestId: string, body: string, fields: Record<string, string> = {}): string => {
    const all = {
        [headerNames.requestId]: requestId,
        [headerNames.responseSeal]: "seal",
        "Content-Length": String(body.length),
        ...fields,
    };
    const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}`);
    return [`HTTP/1.1 ${status} Status`, ...lines, "", body].join("\r\n");
};

describe("a status outside 200 to 599", () => {
    let deployment: PlatformDeployment;
    let servers: ScriptedServer[];

    /** The first server to get a request answers with `first`, the others properly. */
    const serve = async (service: string, first: (requestId: string) => string, fields = {}): Promise<void> => {
        let hasAnswered = false;
        servers = await Promise.all(["i-1", "i-2"].map(id =>
            startScriptedServer(id, {
                onRequest: (socket, { requestId }) => {
                    const text = hasAnswered ? rawAnswer("200", requestId, event, fields) : first(requestId);
                    hasAnswered = true;
                    socket.write(text);
                },
            })
        ));
        servers.forEach(server => deployment.listUpstream(server, service));
        await deployment.waitUntil(() =>
            deployment.logLines.filter(line => line.event === "upstream listed").length >= servers.length
        );
    };

    const runs = (): number => servers.flatMap(({ receivedIds }) => receivedIds).length;

    beforeEach(async () => {
        servers = [];
        deployment = await startPlatformDeployment();
    });

    afterEach(async () => {
        await deployment.stop();
        await Promise.all(servers.map(server => server.close()));
    });

    for (const status of statuses) {
        it(`fails an attempt whose work may have run (${status})`, async () => {
            await serve("catalogue", requestId => rawAnswer(status, requestId, "odd"));
            const { status: seen } = await deployment.call("/book/1", { method: "POST" });
            expect(seen).to.be.oneOf([502, 504]);
            expect(runs()).to.equal(1);
        });

        it(`is no promise that work has not run, whatever its fields say (${status})`, async () => {
            await serve("catalogue", requestId => rawAnswer(status, requestId, "", { [headerNames.notRun]: "1" }));
            const { status: seen } = await deployment.call("/book/1", { method: "POST" });
            expect(promises).not.to.include(seen);
            expect(runs()).to.equal(1);
        });

        it(`leaves an idempotent request its retry (${status})`, async () => {
            await serve("catalogue", requestId => rawAnswer(status, requestId, "odd"));
            const answer = await deployment.call("/read/1");
            expect(answer).to.include({ status: 200, body: event, isComplete: true });
            expect(runs()).to.equal(2);
        });

        it(`leaves a stream its retry (${status})`, async () => {
            await serve("model", requestId => rawAnswer(status, requestId, event, streamType), streamType);
            const answer = await deployment.call("/talk/1", {
                method: "POST",
                tokenUsage: "40,80",
                timeoutMilliseconds: 6_000,
            });
            expect(answer).to.include({ status: 200, body: event, isComplete: true });
            expect(runs()).to.equal(2);
        });

        it(`is believed by no probe, no order, no call of the store and no agent (${status})`, async () => {
            const report = JSON.stringify({
                group: { name: "g", epoch: 1, rank: 0, state: "open" },
                size: 1,
                step: 1,
                map: 0,
                offset: 1,
            });
            const server = await startScriptedServer("i-1", {
                onRequest: socket => void socket.end(rawAnswer(status, "", report, { Connection: "close" })),
            });
            servers = [server];
            const ending = new AbortController();
            const { signal } = ending;
            const store = createStoreClient(server.address, signal);
            const attempt = { requestId: "r", method: "POST", path: "/", body: "" } as ServiceAttempt;
            const [probed, ordered, appended, called] = await Promise.all([
                platformEngines.report(server.address, signal),
                platformEngines.order(server.address, 1, { kind: "hold", step: 2 }, signal),
                store.append(topics.operator, Buffer.from("a"), undefined, signal),
                createServiceClient(server.address).call(attempt, AbortSignal.timeout(1_000)),
            ]);
            ending.abort();
            expect(probed.isErr(), "report").to.equal(true);
            expect(ordered.isErr(), "order").to.equal(true);
            expect(appended._unsafeUnwrapErr().kind, "append").to.equal("unknown");
            expect(called._unsafeUnwrapErr().kind, "service").to.be.oneOf(["cut", "crashed"]);
        });
    }
});
