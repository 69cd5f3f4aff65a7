import { expect } from "chai";
import { startEngine } from "../src/standin/modelEngine.js";
import { startPlainService } from "../src/standin/plainService.js";
import { startPlatform } from "../src/standin/platform.js";
import { expectedAnswer } from "../src/standin/tokens.js";
import { readNewerHostList } from "../src/transport/hostListClient.js";
import { systemClock as clock } from "../src/transport/systemClock.js";
import { virtualClock } from "./support/virtualClock.js";

const listen = "127.0.0.1:0";

describe("stand-ins", () => {
    let stopController: AbortController;

    beforeEach(() => {
        stopController = new AbortController();
    });

    afterEach(() => stopController.abort());

    const sendRequest = async (address: string, path: string, body?: unknown) => {
        const init = body === undefined ? {} : { method: "POST", body: JSON.stringify(body) };
        return fetch(`http://${address}${path}`, { ...init, signal: stopController.signal });
    };

    const sendJsonRequest = async (address: string, path: string, body?: unknown) =>
        (await sendRequest(address, path, body)).json() as Promise<Record<string, unknown>>;

    const startTestEngine = (overrides: Record<string, unknown> = {}) =>
        startEngine({
            listen,
            ranks: 2,
            stepMilliseconds: 1,
            capacity: 8,
            coldCapacity: 2,
            warmAfterTokens: 10,
            coldGraceSteps: 1,
            restartMilliseconds: 1,
            checksFence: true,
            startsWarm: false,
            engineId: "engine",
            clock,
            signal: stopController.signal,
            ...overrides,
        });

    const complete = async (address: string, request: Record<string, unknown>) => {
        const response = await sendRequest(address, "/v1/completions", { request_id: "r", prompt: "p", ...request });
        const events = (await response.text()).split("\n\n").filter(event => event !== "");
        const chunks = events.slice(0, -2).map(event => JSON.parse(event.slice("data: ".length)) as { text: string; });
        return { last: events.at(-1), text: chunks.map(chunk => chunk.text).join("") };
    };

    describe("platform log", () => {
        it("preserves the order of appends and deletes the oldest records beyond the retention", async () => {
            const { address } = await startPlatform({ listen, clock, signal: stopController.signal });
            await sendRequest(address, "/faults", { log: { retentionRecords: 2 } });
            for (const name of ["a", "b", "c"]) {
                await sendRequest(address, "/log/groups%2Fcouncil/records", { name });
            }
            const slice = await sendJsonRequest(address, "/log/groups%2Fcouncil/records?from=0");
            expect(slice).to.deep.include({ firstOffset: 1, nextOffset: 3 });
            expect((slice.records as { body: unknown; }[]).map(record => record.body))
                .to.deep.equal([{ name: "b" }, { name: "c" }]);
        });

        it("completes a long poll when a record is appended", async () => {
            const { address } = await startPlatform({ listen, clock, signal: stopController.signal });
            const reading = sendJsonRequest(address, "/log/settings/records?from=0&waitMilliseconds=60000");
            await sendJsonRequest(address, "/log/settings/records", { name: "a" });
            expect((await reading).nextOffset).to.equal(1);
        });

        it("stores an append whose response is lost, and rejects appends during an outage", async () => {
            const { address, log } = await startPlatform({ listen, clock, signal: stopController.signal });
            await sendRequest(address, "/faults", { log: { loseAnswers: 1 } });
            const lostAppend = await sendRequest(address, "/log/settings/records", { name: "a" }).catch(() => "cut");
            expect(lostAppend).to.equal("cut");
            await sendRequest(address, "/faults", { log: { outage: true } });
            expect((await sendRequest(address, "/log/settings/records", { name: "b" })).status).to.equal(503);
            expect(log.metrics.appends).to.equal(1);
        });
    });

    it("sends the host list only if it has changed since the version that the reader has", async () => {
        const { address, hosts } = await startPlatform({ listen, clock, signal: stopController.signal });
        const platform = `http://${address}`;
        const first = (await readNewerHostList(platform, -1, stopController.signal))._unsafeUnwrap();
        expect(first).to.deep.equal({ version: 0, hosts: [] });
        expect((await readNewerHostList(platform, 0, stopController.signal))._unsafeUnwrap()).to.equal(undefined);
        hosts.updateHost("entry-1");
        expect((await readNewerHostList(platform, 0, stopController.signal))._unsafeUnwrap()?.version).to.equal(1);
    });

    it("hides a change of the host list until the configured lag has passed", async () => {
        const { address, hosts } = await startPlatform({ listen, clock, signal: stopController.signal });
        hosts.updateHost("entry-1", {
            host: "entry-1",
            availabilityZone: "z",
            role: "entry",
            state: "live",
            address: listen,
        });
        expect(await sendJsonRequest(address, "/hosts")).to.deep.include({ version: 1 });
        await sendRequest(address, "/faults", { hosts: { lagMilliseconds: 60_000 } });
        hosts.updateHost("entry-1");
        expect(await sendJsonRequest(address, "/hosts")).to.deep.include({ version: 1 });
    });

    it("records an execution of the plain service whose response is lost", async () => {
        const { address, runs } = await startPlainService({ listen, clock, signal: stopController.signal });
        await sendRequest(address, "/_faults", { cutAfterRun: 1 });
        expect(await sendRequest(address, "/dispatches", { pallets: 3 }).catch(() => "cut")).to.equal("cut");
        const answer = await sendJsonRequest(address, "/dispatches", { pallets: 3 });
        expect(answer).to.deep.equal({ receipt: 2, path: "/dispatches", echo: { pallets: 3 } });
        expect(runs).to.have.length(2);
    });

    describe("model engine", () => {
        it("generates the expected answer, in full or resumed from a token", async () => {
            const { addresses: [address = ""] } = await startTestEngine();
            const fullAnswer = await complete(address, { prompt: "budget", max_tokens: 5 });
            expect(fullAnswer).to.deep.equal({ text: expectedAnswer("budget", 5), last: "data: [DONE]" });
            const resumedAnswer = await complete(address, { prompt: "budget", max_tokens: 5, resume_from: 3 });
            expect(expectedAnswer("budget", 3) + resumedAnswer.text).to.equal(fullAnswer.text);
        });

        it("crashes above its cold capacity and runs at full capacity when warm", async () => {
            const engineClock = virtualClock();
            const { addresses: [address = ""], group } = await startTestEngine({ clock: engineClock });
            const sendConcurrently = async (count: number) => {
                const requests = [...Array(count).keys()].map(index => ({ request_id: `r${index}`, max_tokens: 20 }));
                const answers = requests.map(request => complete(address, request).catch(() => "cut"));
                let isPending = true;
                const all = Promise.all(answers).finally(() => isPending = false);
                while (isPending) {
                    await new Promise(setImmediate);
                    if (group.rankRuntimes[0]?.rank.counters.admitted === expectedAdmissions) {
                        engineClock.advance(1);
                    }
                }
                return all;
            };
            let expectedAdmissions = 3;
            expect(await sendConcurrently(3)).to.deep.equal(["cut", "cut", "cut"]);
            expect(group.rankRuntimes[0]?.rank.counters).to.deep.include({ crashes: 1, admittedAboveColdCapacity: 1 });
            while (group.rankRuntimes[0]?.rank.down === true) {
                await new Promise(setImmediate);
                engineClock.advance(1);
            }
            expectedAdmissions = 4;
            await sendConcurrently(1);
            expectedAdmissions = 12;
            expect(await sendConcurrently(8)).to.not.include("cut");
            expect(group.formation).to.equal(2);
        });

        it("crashes the rank that runs a request with the crash text", async () => {
            const { addresses: [address = ""], group } = await startTestEngine();
            expect(await complete(address, { prompt: "crash-upstream", max_tokens: 2 }).catch(() => "cut")).to.equal(
                "cut",
            );
            expect(group.rankRuntimes.map(runtime => runtime.rank.counters.crashes)).to.deep.equal([1, 0]);
        });

        it("refuses an order with an outdated fencing token if it checks them", async () => {
            const { addresses: [address = ""] } = await startTestEngine();
            const order = (fence: number) => sendRequest(address, "/orders", { fence, order: { kind: "load-model" } });
            const statuses = [(await order(7)).status, (await order(6)).status, (await order(7)).status];
            expect(statuses).to.deep.equal([200, 409, 200]);
        });
    });
});
