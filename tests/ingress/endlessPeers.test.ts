/**
 * Peers of entries and rank agents that send bytes without end, in any part of a response and many at once. Guards against
 * processes that keep them until they run out of memory, or spend all their time on them.
 */
import { expect } from "chai";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { type EndlessPeer, rankNodeOptions, readWithoutEnd, startEndlessPeer } from "../support/endlessPeer.js";
import { killAllPrograms, startNode, startProgram } from "../support/processes.js";
import { answer, startScriptedServer } from "../support/scriptedServer.js";
import { callSlowly, freePort, startEntryProcess } from "../support/slowCaller.js";

const entryMegabytes = 350;
const rankMegabytes = 218;
const answerLimitMilliseconds = 1_000;
const readsAtOnce = 60;
/** Those that took the most memory or time when nothing bounded them, one of each kind. */
const costliestForms = ["no-length", "byte-chunks", "interim"];

describe("peers of the platform that send without end", () => {
    afterEach(killAllPrograms);

    const expectBounded = async (reader: string, forms: string[]): Promise<void> => {
        const peer = await startEndlessPeer(forms);
        const reads = await readWithoutEnd(reader, peer.address, readsAtOnce);
        expect(reads.succeeded).to.equal(0);
        expect(reads.peakMegabytes).to.be.lessThan(rankMegabytes);
        expect(reads.slowestAnswerMilliseconds).to.be.lessThan(answerLimitMilliseconds);
        expect(reads.answers).to.be.greaterThan(0);
    };

    const formsByKind = {
        "heads": ["head", "status-line"],
        "interim responses": ["interim"],
        "bodies": ["length", "no-length", "zeros"],
        "chunks of one byte": ["byte-chunks"],
        "chunk extensions": ["chunk-extension"],
        "trailers": ["trailers"],
    };
    for (const [kind, forms] of Object.entries(formsByKind)) {
        it(`end no process that reads them, nor hold up its answers (store, ${kind})`, () =>
            expectBounded("store read", forms));
    }
    it("end no process that reads them, nor hold up its answers (store, pages that never end)", () =>
        expectBounded("store pages", ["pages"]));

    for (
        const reader of [
            "store append",
            "engine report",
            "engine order",
            "entry records",
            "entry permits",
            "agent maps",
        ]
    ) {
        it(`end no process that reads them, nor hold up its answers (${reader})`, () =>
            expectBounded(reader, costliestForms));
    }

    it("leave callers of an entry their answers while the store sends every form", async () => {
        const server = await startScriptedServer("i-0", {
            onRequest: (socket, { requestId }) => socket.write(answer(200, requestId, "sound")),
        });
        let store: EndlessPeer | undefined;
        const entry = await startEntryProcess(
            entryMegabytes,
            [{ id: server.id, address: server.address, service: "catalogue" }],
            undefined,
            async address => {
                store = await startEndlessPeer(costliestForms, address);
                return store.address;
            },
        );
        store?.flood();
        let isFlooded = false;
        const flooded = store?.flooded(3).finally(() => {
            isFlooded = true;
        });
        const problems: object[] = [];
        let calls = 0;
        while (!isFlooded) {
            const calledAt = performance.now();
            const options = {
                requestId: `sound-${calls}`,
                isStream: false,
                timeoutMilliseconds: answerLimitMilliseconds,
            };
            const { status, isComplete } = await callSlowly(entry.callers, "/read/1", options);
            const milliseconds = performance.now() - calledAt;
            calls += 1;
            if (status !== 200 || !isComplete || milliseconds > answerLimitMilliseconds) {
                problems.push({ status, isComplete, milliseconds });
            }
        }
        await flooded;
        const peakMegabytes = entry.program.peakMegabytes();
        await Promise.all([entry.stop(), server.close()]);
        expect(problems).to.deep.equal([]);
        expect(calls).to.be.greaterThan(0);
        expect(peakMegabytes, entry.program.output()).to.be.lessThan(entryMegabytes);
    });

    for (const path of ["/maps/prepare"]) {
        it(`leave a rank agent alive while agents send it requests without end (${path})`, async () => {
            const folder = await mkdtemp(join(tmpdir(), "rank-"));
            const [metrics, gossip] = await Promise.all([freePort(), freePort()]);
            const file = join(folder, "rank.jsonc");
            await writeFile(
                file,
                JSON.stringify({
                    host: "rank-1",
                    availabilityZone: "medina",
                    ip: "127.0.0.1",
                    internalPorts: [gossip, gossip],
                    metrics: `127.0.0.1:${metrics}`,
                    store: { address: "127.0.0.1:9" },
                    engine: "127.0.0.1:9",
                    service: "model",
                }),
            );
            const rank = startProgram("rank", ["--config", file], rankNodeOptions);
            await rank.waitForEvent("started");
            const parameters = [`127.0.0.1:${gossip}`, path, String(readsAtOnce)];
            const callers = startNode("callers", ["dist/tests/support/endlessCallerProgram.js", ...parameters], {
                env: process.env,
            });
            let haveEnded = false;
            const ended = callers.waitForEvent("all ended").finally(() => {
                haveEnded = true;
            });
            let slowestMilliseconds = 0;
            while (!haveEnded) {
                const askedAt = performance.now();
                expect((await fetch(`http://127.0.0.1:${metrics}/metrics`)).status).to.equal(200);
                slowestMilliseconds = Math.max(slowestMilliseconds, performance.now() - askedAt);
            }
            await ended;
            const peakMegabytes = rank.peakMegabytes();
            await rm(folder, { recursive: true });
            expect(slowestMilliseconds).to.be.lessThan(answerLimitMilliseconds);
            expect(peakMegabytes, rank.output()).to.be.lessThan(rankMegabytes);
        });
    }

    it("leave a rank agent alive while its engine sends every form", async () => {
        const folder = await mkdtemp(join(tmpdir(), "rank-"));
        const engine = await startEndlessPeer();
        const [metrics, gossip] = await Promise.all([freePort(), freePort()]);
        const settings = {
            host: "rank-1",
            availabilityZone: "medina",
            ip: "127.0.0.1",
            internalPorts: [gossip, gossip],
            metrics: `127.0.0.1:${metrics}`,
            store: { address: engine.address },
            engine: engine.address,
            service: "model",
        };
        const file = join(folder, "rank.jsonc");
        await writeFile(file, JSON.stringify(settings));
        const rank = startProgram("rank", ["--config", file], rankNodeOptions);
        await rank.waitForEvent("started");
        let isFlooded = false;
        const flooded = engine.flooded(1).finally(() => {
            isFlooded = true;
        });
        let slowestMilliseconds = 0;
        while (!isFlooded) {
            const askedAt = performance.now();
            expect((await fetch(`http://${settings.metrics}/metrics`)).status).to.equal(200);
            slowestMilliseconds = Math.max(slowestMilliseconds, performance.now() - askedAt);
        }
        await flooded;
        const peakMegabytes = rank.peakMegabytes();
        await rank.kill();
        await rm(folder, { recursive: true });
        expect(slowestMilliseconds).to.be.lessThan(answerLimitMilliseconds);
        expect(peakMegabytes, rank.output()).to.be.lessThan(rankMegabytes);
    });
});
