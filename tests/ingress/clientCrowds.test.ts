/**
 * Crowds of clients outside all limits, on every listener of an entry and of a rank agent. Guards against processes that end,
 * as they keep what such clients send or leave unread, and against ordinary callers that are not answered afterwards.
 */
import { expect } from "chai";
import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { paths, slowReadersContract } from "../../platform/names.js";
import { type SealedServer, startSealedServer } from "../../src/standin/sealedServer.js";
import { type Crowd, type CrowdForm, crowdForms, startCrowd } from "../support/clientCrowd.js";
import { rankNodeOptions } from "../support/endlessPeer.js";
import { standardConfiguration } from "../support/platformDeployment.js";
import { killAllPrograms, type Program, startProgram } from "../support/processes.js";
import { callSlowly, type EntryProcess, freePort, startEntryProcess } from "../support/slowCaller.js";

/** The smallest entry and agent of the deployments in use. */
const entryMegabytes = 202;
const rankMegabytes = 218;
const crowdSize = 100;
const patienceMilliseconds = 30_000;

/** So that no time limit decides, however slow the machine is. */
const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 };
const { routes } = standardConfiguration(1) as { routes: object[]; };
const configuration = { routes: routes.map(route => ({ ...route, timeoutMs: patienceMilliseconds })), limits };

const doorForms: CrowdForm[] = [
    "bodies far over the limit that are just sent",
    "bodies in chunks of one byte that stop short of their end",
    "bodies with a length that stop short of it",
    "bare requests sent ahead",
    "bare requests with a host sent ahead",
    "requests for a dump sent ahead",
    "heads of short fields that stop short of their end",
];

describe("crowds of clients outside the limits", () => {
    let server: SealedServer;
    let entry: EntryProcess;
    let stopEntry: () => Promise<void>;
    let crowd: Crowd;

    beforeEach(async () => {
        stopEntry = () => Promise.resolve();
        server = await startSealedServer("i-1");
    });

    afterEach(async () => {
        crowd.close();
        await stopEntry();
        killAllPrograms();
        await server.close();
    });

    const startEntry = async (contracts: string[] = [], settings: object = {}): Promise<void> => {
        const listed = [{ id: server.id, address: server.address, service: "catalogue" }];
        const changes = { configuration, settings: { graceSeconds: 5, ...settings } };
        entry = await startEntryProcess(entryMegabytes, listed, contracts, undefined, changes);
        stopEntry = () => entry.stop();
    };

    const expectAlive = (program: Program, memoryMegabytes: number): void => {
        expect(program.peakMegabytes(), program.output().slice(-500)).to.be.lessThan(memoryMegabytes);
    };

    const expectAnswered = async (): Promise<void> => {
        const options = { requestId: "ordinary", isStream: false, timeoutMilliseconds: patienceMilliseconds };
        const { status, isComplete } = await callSlowly(entry.callers, "/read/1", options);
        expectAlive(entry.program, entryMegabytes);
        expect({ status, isComplete }).to.deep.equal({ status: 200, isComplete: true });
    };

    for (const form of Object.keys(crowdForms) as CrowdForm[]) {
        it(`leave an entry alive within its memory, and callers their answers (${form})`, async () => {
            await startEntry();
            crowd = await startCrowd(entry.callers, [form], crowdSize);
            await crowd.settled();
            await expectAnswered();
        });
    }

    it("leave an entry alive within its memory, and callers their answers (all forms, slow readers stated)", async () => {
        await startEntry([slowReadersContract]);
        crowd = await startCrowd(entry.callers, Object.keys(crowdForms) as CrowdForm[], crowdSize);
        await crowd.settled();
        await expectAnswered();
    });

    for (
        const form of [
            "nothing",
            "bodies in one large chunk that stop short of its end",
            "bare requests with a host sent ahead",
        ] satisfies CrowdForm[]
    ) {
        it(`leave an entry within its descriptors, and callers their answers (many connections, ${form})`, async () => {
            const maximumDescriptors = 400;
            await startEntry([], { maximumDescriptors });
            crowd = await startCrowd(entry.callers, [form], 2 * maximumDescriptors);
            await crowd.settled();
            expect(entry.program.descriptors()).to.be.lessThan(maximumDescriptors);
            await expectAnswered();
            expect(entry.program.descriptors()).to.be.lessThan(maximumDescriptors);
        });
    }

    for (const door of ["readiness", "metrics", "internal"] as const) {
        it(`leave an entry alive within its memory, and its listeners answering (at the ${door} port)`, async () => {
            await startEntry();
            crowd = await startCrowd(entry[door], doorForms, crowdSize);
            await crowd.settled();
            expect((await fetch(`http://${entry.readiness}${paths.readiness}`)).status).to.equal(200);
            expect((await fetch(`http://${entry.metrics}/metrics`)).status).to.equal(200);
            await expectAnswered();
        });
    }

    for (const door of ["metrics", "internal"] as const) {
        it(`leave a rank agent alive within its memory, and its listeners answering (at the ${door} port)`, async () => {
            const folder = await mkdtemp(join(tmpdir(), "rank-"));
            const [metrics, internal] = await Promise.all([freePort(), freePort()]);
            const file = join(folder, "rank.jsonc");
            await writeFile(
                file,
                JSON.stringify({
                    host: "rank-1",
                    availabilityZone: "medina",
                    ip: "127.0.0.1",
                    internalPorts: [internal, internal],
                    metrics: `127.0.0.1:${metrics}`,
                    store: { address: "127.0.0.1:9" },
                    engine: "127.0.0.1:9",
                    service: "model",
                }),
            );
            const rank = startProgram("rank", ["--config", file], rankNodeOptions);
            await rank.waitForEvent("started");
            crowd = await startCrowd(`127.0.0.1:${door === "metrics" ? metrics : internal}`, doorForms, crowdSize);
            await crowd.settled();
            expect((await fetch(`http://127.0.0.1:${metrics}/metrics`)).status).to.equal(200);
            expect((await fetch(`http://127.0.0.1:${internal}/`)).status).to.equal(404);
            expectAlive(rank, rankMegabytes);
        });
    }
});
