/**
 * Read responses of the store that have no length and break off at any place.
 */
import { expect } from "chai";
import { createStoreClient } from "../../platform/storeClient.js";
import { type ScriptedServer, startScriptedServer } from "../support/scriptedServer.js";

const offsetsBytes = 16;
const framed = (text: string): Buffer => {
    const length = Buffer.alloc(4);
    length.writeUInt32BE(text.length);
    return Buffer.concat([length, Buffer.from(text)]);
};
const wholeBody = Buffer.concat([Buffer.alloc(offsetsBytes), framed("aaaa"), framed("bbbb")]);

describe("a read response of the store without a length", () => {
    let store: ScriptedServer;
    let lifetime: AbortController;

    afterEach(async () => {
        lifetime.abort();
        await store.close();
    });

    const cases: [bytes: number, seen: unknown][] = [
        [wholeBody.length, 2],
        [wholeBody.length - 2, "refused"],
        [wholeBody.length - 6, 1],
        [wholeBody.length - 8, 1],
        // Taken for a response without records, it would be polled again at once and without end.
        [offsetsBytes - 1, "refused"],
        [0, "refused"],
    ];

    for (const [bytes, seen] of cases) {
        it(`loses no record and isn't taken for no news when it breaks off after ${bytes} bytes`, async () => {
            lifetime = new AbortController();
            store = await startScriptedServer("store", {
                onRequest: socket => {
                    socket.write("HTTP/1.1 200 OK\r\n\r\n");
                    socket.end(wholeBody.subarray(0, bytes));
                },
            });
            const slice = await createStoreClient(store.address, lifetime.signal).read("t", 5, 0, lifetime.signal);
            expect(slice.match(({ records }) => records.length, ({ kind }) => kind)).to.equal(seen);
            expect(slice.match(({ next }) => next.offset, () => 5)).to.equal(typeof seen === "number" ? 5 + seen : 5);
        });
    }
});
