/**
 * The ways in which answers of a plain service end: sound ones, which its agent passes on, and broken ones, which may have run.
 */
import { expect } from "chai";
import type { Socket } from "node:net";
import type { ServiceAttempt } from "../src/coordination/attempts.js";
import { createServiceClient } from "../src/transport/serviceClient.js";
import { type ScriptedServer, startScriptedServer } from "./support/scriptedServer.js";

const attempt: ServiceAttempt = {
    attempt: "a-1",
    requestId: "booking",
    clientAccount: "council",
    priority: "interactive",
    service: "catalogue",
    method: "POST",
    path: "/book",
    body: "",
    digest: "",
    timeoutMilliseconds: 2_000,
};
const resetDelayMilliseconds = 20;

describe("the end of a plain service's answer", () => {
    let service: ScriptedServer;

    afterEach(() => service.close());

    const answerOf = async (write: (socket: Socket) => void, method = "POST") => {
        service = await startScriptedServer("service", { onRequest: write });
        return createServiceClient(service.address).call({ ...attempt, method }, AbortSignal.timeout(2_000));
    };
    const head = (...fields: string[]): string => ["HTTP/1.1 200 OK", ...fields, "", ""].join("\r\n");
    const writeThen = (text: string, end: (socket: Socket) => void) => (socket: Socket): void =>
        void socket.write(text, () => setTimeout(end, resetDelayMilliseconds, socket));
    const reset = (socket: Socket): void => void socket.resetAndDestroy();

    const sound: Record<string, { write: (socket: Socket) => void; method?: string; body: string; }> = {
        "no length, and a close": { write: socket => void socket.end(`${head()}booked`), body: "booked" },
        "a length, and a reset behind it": {
            write: writeThen(`${head("Content-Length: 6")}booked`, reset),
            body: "booked",
        },
        "status 204": { write: socket => void socket.write("HTTP/1.1 204 No Content\r\n\r\n"), body: "" },
        "method HEAD": { write: socket => void socket.write(head()), method: "HEAD", body: "" },
    };

    for (const [what, { write, method, body }] of Object.entries(sound)) {
        it(`is seen with ${what}`, async () => {
            expect((await answerOf(write, method))._unsafeUnwrap().body).to.equal(body);
        });
    }

    const closing = "Connection: close";
    const broken: Record<string, (socket: Socket) => void> = {
        "a reset without a length": writeThen(`${head()}boo`, reset),
        "a reset without a length behind Connection: close": writeThen(`${head(closing)}boo`, reset),
        "the end of the service's process without a length": writeThen(`${head()}boo`, () => void service.close()),
        "a close before the length": socket => void socket.end(`${head(closing, "Content-Length: 6")}boo`),
        "a close before the last chunk": socket =>
            void socket.end(`${head(closing, "Transfer-Encoding: chunked")}3\r\nboo\r\n`),
        "a reset before the last chunk": writeThen(`${head(closing, "Transfer-Encoding: chunked")}3\r\nboo\r\n`, reset),
    };

    for (const [what, write] of Object.entries(broken)) {
        it(`doesn't make a cut answer look whole: ${what}`, async () => {
            expect((await answerOf(write))._unsafeUnwrapErr().kind).to.equal("crashed");
        });
    }
});
