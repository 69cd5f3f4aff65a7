/**
 * Callers that send request bodies without end; run by `startEndlessCallers`.
 *
 * node endlessCallerProgram.js <ip:port> <path> <calls at once>
 */
import { connect } from "node:net";

const [, , address = "", path = "", calls = "1"] = process.argv;
const [host = "", port] = address.split(":");
const block = Buffer.alloc(65_536, "a");
let ended = 0;

for (let call = 0; call < Number(calls); call += 1) {
    const socket = connect({ host, port: Number(port) });
    const send = (): void => {
        while (!socket.destroyed && socket.write(block)) {
            // The socket takes more.
        }
    };
    socket.on("error", () => undefined);
    socket.resume();
    socket.once("close", () => {
        ended += 1;
        if (ended === Number(calls)) {
            console.log(JSON.stringify({ event: "all ended" }));
        }
    });
    socket.write(
        `POST ${path} HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: 1000000000000\r\n\r\n`,
    );
    socket.on("drain", send);
    send();
}
