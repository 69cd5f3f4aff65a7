/**
 * Servers whose answers never end, and callers that ask for them, each as a process of its own so that what they send and
 * read doesn't slow down the tests.
 *
 * `node endlessPeers.js servers FORM COUNT` prints `listening` with the servers' addresses, and `flooding` with the number
 * of answers begun each time a server begins one. `node endlessPeers.js callers ADDRESS PATH COUNT` keeps COUNT calls open
 * until it is killed, and prints `ended` with the number of calls that have ended.
 */
import { request as startRequest } from "node:http";
import type { Socket } from "node:net";
import { headerNames } from "../../platform/names.js";
import { validApiKey } from "./platformDeployment.js";
import { head, startScriptedServer } from "./scriptedServer.js";

/** Bytes of an answer: `begin` once, then `repeat` without end. */
type EndlessAnswer = { begin: string; repeat: string; };

const chunked = { "Transfer-Encoding": "chunked" };
const eventStream = { ...chunked, "Content-Type": "text/event-stream" };
/** One chunk that doesn't end, so that its bytes arrive in parts as large as the connection brings them. */
const hugeChunk = "fffffffffff\r\n";
const blockBytes = 65_536;

const answers: Record<string, (requestId: string) => EndlessAnswer> = {
    "head": () => ({ begin: "HTTP/1.1 200 OK\r\nX-Padding: ", repeat: "x" }),
    "interim responses": () => ({ begin: "", repeat: "HTTP/1.1 103 Early Hints\r\n\r\n" }),
    "body with a length": id => ({ begin: head(200, id, { "Content-Length": "1000000000000" }), repeat: "x" }),
    "body without a length": id => ({ begin: head(200, id), repeat: "x" }),
    "body in chunks of one byte": id => ({ begin: head(200, id, chunked), repeat: "1\r\nx\r\n" }),
    "trailers": id => ({ begin: `${head(200, id, chunked)}2\r\nok\r\n0\r\n`, repeat: "X-Trailer: x\r\n" }),
    "events": id => ({ begin: head(200, id, eventStream) + hugeChunk, repeat: "data: x\n\n" }),
    "comments": id => ({ begin: head(200, id, eventStream) + hugeChunk, repeat: ":\n\n" }),
    "event in small parts": id => ({
        begin: `${head(200, id, eventStream)}6\r\ndata: \r\n`,
        repeat: `40\r\n${"x".repeat(64)}\r\n`,
    }),
};

const print = (event: string, fields: object): void => console.log(JSON.stringify({ event, ...fields }));

const sendWithoutEnd = (socket: Socket, { begin, repeat }: EndlessAnswer): void => {
    const block = Buffer.from(repeat.repeat(Math.ceil(blockBytes / repeat.length)));
    socket.write(begin);
    const send = (): void => {
        while (!socket.destroyed && socket.write(block)) {
            // Until the connection takes no more.
        }
    };
    socket.on("drain", send);
    send();
};

const runServers = async (form: string, count: number): Promise<void> => {
    const answerTo = answers[form];
    if (answerTo === undefined) {
        process.exit(1);
    }
    let begun = 0;
    const servers = await Promise.all([...Array(count).keys()].map(index =>
        startScriptedServer(`flood-${index}`, {
            onRequest: (socket, { requestId }) => {
                begun += 1;
                print("flooding", { begun });
                sendWithoutEnd(socket, answerTo(requestId));
            },
        })
    ));
    print("listening", { addresses: servers.map(({ address }) => address) });
};

const betweenCallsMilliseconds = 100;

const runCallers = (address: string, path: string, count: number): void => {
    const [host, port] = address.split(":");
    let ended = 0;
    const callInTurn = async (caller: number): Promise<void> => {
        for (let turn = 0;; turn += 1) {
            const isStream = path.startsWith("/flood/");
            const outgoing = startRequest({
                host,
                port: Number(port),
                path,
                method: isStream ? "POST" : "GET",
                agent: false,
                headers: {
                    host: "portal.example",
                    [headerNames.requestId]: `flood-${caller}-${turn}`,
                    [headerNames.remainingTimeout]: "8000",
                    [headerNames.authorization]: `Bearer ${validApiKey}`,
                    ...(isStream ? { [headerNames.tokenUsage]: "40,80" } : {}),
                },
            }, response => {
                response.on("error", () => undefined);
                response.resume();
            });
            outgoing.on("error", () => undefined);
            outgoing.end();
            await new Promise(resolve => outgoing.once("close", resolve));
            ended += 1;
            print("ended", { ended });
            await new Promise(resolve => setTimeout(resolve, betweenCallsMilliseconds));
        }
    };
    [...Array(count).keys()].forEach(caller => void callInTurn(caller));
};

const [role, ...parameters] = process.argv.slice(2);
if (role === "servers") {
    await runServers(parameters[0] ?? "", Number(parameters[1]));
}
else {
    runCallers(parameters[0] ?? "", parameters[1] ?? "", Number(parameters[2]));
}
