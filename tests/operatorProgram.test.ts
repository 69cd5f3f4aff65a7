import { expect } from "chai";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { startPlatform } from "../src/standin/platform.js";
import type { Platform } from "../src/standin/platform.js";
import { systemClock as clock } from "../src/transport/systemClock.js";
import { postJson } from "./support/deployment.js";
import { startProgram } from "./support/processes.js";

describe("operator command line", () => {
    let stop: AbortController;
    const directory = mkdtempSync(join(tmpdir(), "operators-"));
    let platform: Platform;

    beforeEach(async () => {
        stop = new AbortController();
        platform = await startPlatform({ listen: "127.0.0.1:0", clock, signal: stop.signal });
    });

    afterEach(() => stop.abort());

    after(() => rmSync(directory, { recursive: true }));

    /** Runs the program against the platform stand-in and returns its exit status and output. */
    const runCommand = async (...parameters: string[]) => {
        const program = startProgram("cyclamengap", [...parameters, "--platform", `http://${platform.address}`]);
        const status = await program.exited;
        return { status, output: program.output() };
    };

    const writeDocument = (name: string, text: string): string => {
        const file = join(directory, name);
        writeFileSync(file, text);
        return file;
    };

    it("checks a document, applies it and shows where each value comes from", async () => {
        const wrong = writeDocument("wrong.jsonc", `{\n "": { "queueLimits": 4 }\n}`);
        const checked = await runCommand("settings", "check", wrong);
        expect(checked.status).to.equal(2);
        expect(checked.output).to.contain(`wrong.jsonc:2: field ".queueLimits"`);
        const file = writeDocument(
            "kuitupuu.jsonc",
            `{ "": { "queueLimit": 4 }, "clientAccounts/dryers": { "requestsPerSecond": 5 } }`,
        );
        expect((await runCommand("settings", "apply", file)).output)
            .to.contain(`+ "clientAccounts/dryers"`).and.to.contain("accepted at offset 0");
        expect((await runCommand("settings", "show", "--effective", "client-account", "dryers")).output)
            .to.contain(`queueLimit: 4  (from "")`)
            .and.to.contain(`requestsPerSecond: 5  (from "clientAccounts/dryers")`);
    });

    it("determines the outcome after a lost response, and a second run does not undo later changes of others", async () => {
        const file = writeDocument("lost.jsonc", `{ "": { "queueLimit": 5 } }`);
        platform.log.faults.loseAnswers = 1;
        expect((await runCommand("settings", "apply", file)).output).to.contain("accepted at offset 0");
        const edits = [{ path: "", base: 0, value: { queueLimit: 6 } }];
        const change = { kind: "change", id: "x", author: "", comment: "", edits };
        await postJson(`http://${platform.address}/log/settings/records`, change);
        const again = await runCommand("settings", "apply", file);
        expect(again.status).to.equal(1);
        expect(again.output).to.contain("accepted at offset 0").and.to.contain("--again");
    });

    it("takes a zone out of service and lists the change in the history", async () => {
        const out = await runCommand(
            "zone",
            "out",
            "savo-kuopio",
            "--author",
            "aino",
            "--comment",
            "works on the feed",
        );
        expect(out.output).to.contain("accepted at offset 0");
        expect((await runCommand("settings", "history")).output).to.match(
            /0 .* accepted .*aino.*savo-kuopio.*works on the feed/,
        );
    });

    it("reports an outage of the log with another exit status than a rejected change", async () => {
        platform.log.faults.outage = true;
        const { status, output } = await runCommand("zone", "in", "savo-kuopio", "--timeout-seconds", "0.2");
        platform.log.faults.outage = false;
        expect(status).to.equal(3);
        expect(output).to.contain("cannot read the settings");
    });
});
