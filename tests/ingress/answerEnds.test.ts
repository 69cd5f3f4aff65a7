/**
 * The ways in which answers of servers end: sound ones, each of which a caller gets whole, and broken ones, each of which logs
 * and metrics tell apart.
 */
import { expect } from "chai";
import type { Socket } from "node:net";
import { type PlatformDeployment, startPlatformDeployment } from "../support/platformDeployment.js";
import { head, type Script, type ScriptedServer, startScriptedServer } from "../support/scriptedServer.js";

const chunked = { "Transfer-Encoding": "chunked" };

const chunk = (text: string): string => text === "" ? "" : `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
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
});
