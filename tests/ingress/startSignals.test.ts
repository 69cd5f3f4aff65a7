/**
 * Signals that reach an entry while it starts.
 */
import { expect } from "chai";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { topics } from "../../platform/names.js";
import { startKeyedStore } from "../../src/standin/keyedStore.js";
import { createEntryProcesses } from "../support/entryProcesses.js";
import { standardConfiguration } from "../support/platformDeployment.js";
import { killAllPrograms } from "../support/processes.js";

describe("an entry that starts", () => {
    it("isn't ended by SIGHUP before it has started", async () => {
        const folder = await mkdtemp(join(tmpdir(), "start-"));
        const store = await startKeyedStore();
        store.put(topics.operator, "config", standardConfiguration(1));
        const entries = await createEntryProcesses(folder, store, 5);
        const starting = entries.start(0);
        const { program } = await entries.launched(0);
        await program.waitForEvent("starting");
        program.sendSignal("SIGHUP");
        await starting;
        expect(program.output()).to.include("\"event\":\"reload\"");
        killAllPrograms();
        await program.exited;
        await Promise.all([store.close(), rm(folder, { recursive: true })]);
    });
});
