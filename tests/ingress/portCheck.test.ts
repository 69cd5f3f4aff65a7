/**
 * Checks of ports that decide whether a server has crashed, or whether the end of its answer is sound.
 */
import { expect } from "chai";
import { ok } from "neverthrow";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { withCheckedEnds } from "../../src/coordination/ingress/unmarkedEnds.js";
import type { SendToUpstream, UpstreamResponse } from "../../src/coordination/ingress/upstreamAttempt.js";
import type { Upstream } from "../../src/state/ingressTypes.js";
import { isPortClosed, isPortOpen } from "../../src/transport/ingress/portCheck.js";

describe("a port check", () => {
    const neverAborted = new AbortController().signal;

    it("tells a port that is listened on from one that is closed", async () => {
        const server = createServer().listen(0, "127.0.0.1");
        await once(server, "listening");
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        expect([await isPortOpen(address, neverAborted), await isPortClosed(address, neverAborted)])
            .to.deep.equal([true, false]);
        server.close();
        await once(server, "close");
        expect([await isPortOpen(address, neverAborted), await isPortClosed(address, neverAborted)])
            .to.deep.equal([false, true]);
    });

    it("that is aborted proves neither that a server has crashed nor that its answer is whole", async () => {
        const aborted = new AbortController();
        const checks = [isPortOpen, isPortClosed].map(check => check("127.0.0.1:9", aborted.signal));
        aborted.abort();
        expect(await Promise.all(checks)).to.deep.equal([false, false]);
    });

    it("that can't tell leaves an answer without a length cut off", async () => {
        const response: Pick<UpstreamResponse, "body" | "ending"> = {
            body: (async function*() {
                yield Buffer.from("boo");
            })(),
            ending: () => ({ framing: "connection", end: "closed", bodyBytes: 3 }),
        };
        const aborted = new AbortController();
        const send = withCheckedEnds(async () => ok(response as UpstreamResponse), {
            isPortOpen: (address, signal) => {
                const check = isPortOpen(address, signal);
                aborted.abort();
                return check;
            },
            isLeaving: () => false,
        });
        const parameters = [{ id: "i-0", address: "127.0.0.1:9" } as Upstream, {}, {}, aborted.signal];
        const checked = (await send(...parameters as unknown as Parameters<SendToUpstream>))._unsafeUnwrap();
        for await (const part of checked.body) {
            expect(part.toString()).to.equal("boo");
        }
        expect(checked.ending().end).to.equal("closed");
    });
});
