/**
 * A peer that answers each request with bytes without end; run by `startEndlessPeer`.
 *
 * node endlessPeerProgram.js <forms, separated by commas> [<ip:port> of a sound peer]
 *
 * Connections get the forms in turn. With a sound peer, connections are joined to it until SIGUSR2.
 */
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

const blockBytes = 65_536;
const [, , formNames = "", soundAddress] = process.argv;

const repeated = (text: string): Buffer => Buffer.from(text.repeat(Math.ceil(blockBytes / text.length)));
const chunked = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
const items = Array.from(
    { length: 64 },
    (unused, index) => ({ key: `i-${index}`, value: "a".repeat(1_024), offset: 1 }),
);
const page = JSON.stringify({ items, morePages: true, end: 2 });

/** What is sent once, and then again and again. */
const forms: Record<string, [first: string, endless: Buffer]> = {
    "head": ["HTTP/1.1 200 OK\r\n", repeated("X-Filler: aaaaaaaaaaaaaaaaaaaaaaaa\r\n")],
    "status-line": ["HTTP/1.1 200 ", repeated("a")],
    "interim": ["", repeated("HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n")],
    "length": ["HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", repeated("a")],
    "no-length": ["HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", repeated("a")],
    "zeros": ["HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", Buffer.alloc(blockBytes)],
    "byte-chunks": [chunked, repeated("1\r\na\r\n")],
    "chunk-extension": [`${chunked}1;`, repeated("a")],
    "trailers": [`${chunked}2\r\n{}\r\n0\r\n`, repeated("T: a\r\n")],
    "frames": ["HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", repeated(`{"type":"heartbeat"}\n`)],
};

const flood = (socket: Socket, form: string): void => {
    console.log(JSON.stringify({ event: "flooding", form }));
    const [first, endless] = forms[form] ?? ["", Buffer.alloc(0)];
    const send = (): void => {
        while (!socket.destroyed && socket.write(endless)) {
            // The socket takes more.
        }
    };
    socket.write(first);
    socket.on("drain", send);
    send();
};

const sockets = new Set<Socket>();
let isSound = soundAddress !== undefined;
let turn = 0;

const server = createServer(socket => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.once("close", () => sockets.delete(socket));
    if (isSound) {
        const [host, port] = (soundAddress ?? "").split(":");
        const sound = connect({ host: host ?? "", port: Number(port) });
        sound.on("error", () => socket.destroy());
        socket.once("close", () => sound.destroy());
        socket.pipe(sound).pipe(socket);
        return;
    }
    const names = formNames.split(",");
    const begin = (): void => {
        const form = names[turn % names.length] ?? "";
        turn += 1;
        if (form !== "pages") {
            flood(socket, form);
            return;
        }
        const sendPage = (): boolean =>
            socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${page.length}\r\n\r\n${page}`);
        console.log(JSON.stringify({ event: "flooding", form }));
        socket.on("data", sendPage);
        sendPage();
    };
    // A client may open connections that it doesn't use.
    socket.once("data", begin);
    socket.resume();
});
process.on("SIGUSR2", () => {
    isSound = false;
    sockets.forEach(socket => socket.destroy());
});
server.listen(0, "127.0.0.1", () => {
    const { address, port } = server.address() as AddressInfo;
    console.log(JSON.stringify({ event: "listening", address: `${address}:${port}` }));
});
