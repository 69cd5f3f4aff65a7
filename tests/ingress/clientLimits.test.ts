/**
 * Single clients at the limits that the operator's configuration states: each is served in calm.
 */
import { expect } from "chai";
import { type SealedServer, startSealedServer } from "../../src/standin/sealedServer.js";
import { type CallerConnection, openCallerConnection, requestText } from "../support/callerConnection.js";
import { type PlatformDeployment, startPlatformDeployment } from "../support/platformDeployment.js";
import { answer, startScriptedServer } from "../support/scriptedServer.js";

const patience = 15_000;
const maxBodyBytes = 4_194_304;
const limits = { maxHeaderBytes: 16_384, maxBodyBytes, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 };
const largestBody = "a".repeat(maxBodyBytes);

describe("a client at the limits", () => {
    let deployment: PlatformDeployment;
    let server: SealedServer;
    let connection: CallerConnection;

    beforeEach(async () => {
        deployment = await startPlatformDeployment();
        deployment.configure(2, { limits });
        server = await startSealedServer("i-1");
        deployment.listUpstream(server, "catalogue");
        await deployment.waitUntil(() =>
            ["configuration in force", "upstream listed"].every(event =>
                deployment.logLines.some(line => line.event === event && (line["version"] ?? 2) === 2)
            )
        );
        connection = await openCallerConnection(deployment.entry.addresses.callers);
    });

    afterEach(async () => {
        connection.socket.destroy();
        await deployment.stop();
        await server.close();
    });

    const answered = (text: string): boolean => /^HTTP\/1\.1 \d+ [\s\S]*\r\n\r\n[\s\S]+/.test(text);
    const statuses = (text: string): string[] => [...text.matchAll(/HTTP\/1\.1 (\d+) /g)].map(([, status]) => status!);
    const request = (requestId: string) => requestText({ path: "/book/1", requestId, patience });
    const chunkedHead = request("chunked").replace("Content-Length: 0", "Transfer-Encoding: chunked");

    const forms: Record<string, string> = {
        "a body of the largest size": `${
            requestText({ path: "/book/1", requestId: "length", patience, body: largestBody })
        }a`,
        "a body of the largest size in one chunk": `${chunkedHead}${
            maxBodyBytes.toString(16)
        }\r\n${largestBody}\r\n0\r\n\r\n`,
        "a body in 60,000 chunks of one byte": `${chunkedHead}${"1\r\na\r\n".repeat(60_000)}0\r\n\r\n`,
        "a body of empty lines": `${chunkedHead}ea60\r\n${"\n".repeat(60_000)}\r\n0\r\n\r\n`,
    };
    for (const [what, text] of Object.entries(forms)) {
        it(`is served with ${what}`, async () => {
            connection.write(text);
            expect(statuses(await connection.until(answered))).to.deep.equal(["200"]);
        });
    }

    // Node's HTTP server drops fields behind the thousandth without a word.
    it("has all fields of its head passed on, also behind 1,900 others", async () => {
        const scripted = await startScriptedServer("i-2", {
            onRequest: (socket, { requestId }) => void socket.write(answer(200, requestId, "done")),
        });
        deployment.listUpstream(scripted, "other");
        await deployment.waitUntil(() => deployment.logLines.some(line => line["id"] === "i-2"));
        const text = requestText({ path: "/book/special/1", requestId: "fields", patience });
        connection.write(text.replace("Host:", `${"a: b\r\n".repeat(1_900)}Host:`));
        expect(statuses(await connection.until(answered))).to.deep.equal(["200"]);
        expect(scripted.receivedIds).to.deep.equal(["fields"]);
        await scripted.close();
    });

    it("gets all its answers in order for 40 requests that it sends ahead", async () => {
        const ids = Array.from({ length: 40 }, (unused, index) => `ahead-${index}`);
        connection.write(ids.map(request).join(""));
        const text = await connection.until(received =>
            statuses(received).length === ids.length && received.endsWith("39")
        );
        expect(statuses(text)).to.deep.equal(ids.map(() => "200"));
        expect([...text.matchAll(/request-id: (ahead-\d+)/gi)].map(([, id]) => id)).to.deep.equal(ids);
    });

    // What such clients had sent was kept for as long as their pace took to read it, and no large body had room.
    it("is served again with a body of the largest size after 400 clients left in the middle of theirs", async () => {
        const part = `${chunkedHead}${"1\r\na\r\n".repeat(30_000)}`;
        for (let client = 0; client < 400; client += 1) {
            const leaving = await openCallerConnection(deployment.entry.addresses.callers);
            await new Promise<void>(resolve => leaving.socket.write(part, () => resolve()));
            leaving.socket.destroy();
            await leaving.closed;
        }
        let seen: string[] = [];
        while (seen[0] !== "200") {
            connection.socket.destroy();
            connection = await openCallerConnection(deployment.entry.addresses.callers);
            connection.write(forms["a body of the largest size"] ?? "");
            seen = statuses(await connection.until(answered));
        }
    }).timeout(40_000);

    it("is told at once that its body is too large, before the body has ended", async () => {
        const text = requestText({ path: "/book/1", requestId: "large", patience, body: "a" });
        connection.write(text.replace("Content-Length: 1", `Content-Length: ${maxBodyBytes + 1}`));
        expect(statuses(await connection.until(answered))).to.deep.equal(["413"]);
    });

    // The connection was closed right behind the refusal, which some clients lost with it.
    it("keeps the connection after the refusal of a body three times too large", async () => {
        deployment.configure(3, { limits: { ...limits, maxBodyBytes: 1_000 } });
        await deployment.waitUntil(() =>
            deployment.logLines.some(line => line.event === "configuration in force" && line["version"] === 3)
        );
        const large = requestText({ path: "/book/1", requestId: "large", patience, body: "a".repeat(3_000) });
        connection.write(`${large}a`);
        expect(statuses(await connection.until(answered))).to.deep.equal(["413"]);
        connection.write(request("next"));
        expect(statuses(await connection.until(text => statuses(text).length === 2))).to.deep.equal(["413", "200"]);
    });
});
