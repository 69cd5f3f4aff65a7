import { expect } from "chai";
import { once } from "node:events";
import type { Socket } from "node:net";
import { PassThrough } from "node:stream";
import { createPeerReads } from "../src/coordination/peerReads.js";
import { ClientSocket } from "../src/transport/clientSocket.js";
import { virtualClock } from "./support/virtualClock.js";

const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

describe("the connection of a client", () => {
    let connection: PassThrough;
    let socket: ClientSocket;
    let slices: string[];

    beforeEach(() => {
        connection = new PassThrough();
        slices = [];
        socket = new ClientSocket({
            connection: connection as unknown as Socket,
            reads: createPeerReads(virtualClock()),
            onExceeded: cause => expect.fail(cause),
        });
        socket.on("data", (bytes: Buffer) => void slices.push(bytes.toString()));
    });

    afterEach(() => void socket.destroy());

    const send = async (text: string): Promise<void> => {
        const received = once(socket, "data");
        connection.write(text);
        await received;
    };

    it("hands over one head at a time", async () => {
        await send(request.repeat(3));
        expect(slices).to.deep.equal([request, request, request]);
    });

    it("hands over no further head while 16 requests are open", async () => {
        const finished: (() => void)[] = [];
        socket.on("data", () => void finished.push(socket.begin({ isComplete: () => true, isChunked: false })));
        await send(request.repeat(20));
        expect(slices).to.have.length(16);
        const next = once(socket, "data");
        finished[0]?.();
        await next;
        expect(slices).to.have.length(17);
    });

    it("doesn't wait for the rest of a request while one is handled that empty lines follow", async () => {
        await send(request);
        const finish = socket.begin({ isComplete: () => true, isChunked: false });
        await send("\r\n");
        expect(socket.isReading()).to.equal(false);
        expect(socket.waitingSince()).to.equal(undefined);
        finish();
        expect(socket.waitingSince()).to.be.a("number");
    });
});
