/**
 * Entries as processes that are stopped and started again in series and overlapping, some with a second signal, while callers
 * keep using their connections until the processes are gone. Each booking runs at most once, each that ran has a whole answer,
 * and each that is refused has not run.
 *
 * `CYCLAMENGAP_SEEDS` gives the number of seeds; each plays for 15 s.
 */
import { expect } from "chai";
import { mkdtemp, rm } from "node:fs/promises";
import { Agent, request as startRequest } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { headerNames, topics } from "../../platform/names.js";
import { type KeyedStore, startKeyedStore } from "../../src/standin/keyedStore.js";
import { type SealedServer, startSealedServer } from "../../src/standin/sealedServer.js";
import { createEntryProcesses, type EntryProcesses } from "../support/entryProcesses.js";
import { standardConfiguration, validApiKey } from "../support/platformDeployment.js";
import { killAllPrograms } from "../support/processes.js";
import { seededRandom } from "../support/random.js";
import { answer, type ScriptedServer, startScriptedServer } from "../support/scriptedServer.js";

const seeds = Number(process.env.CYCLAMENGAP_SEEDS ?? 2);
const entries = 3;
const callers = 9;
const playMilliseconds = 15_000;
const graceSeconds = 5;
const promises = [408, 421, 429, 503];
const pause = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds));

type Outcome = { requestId: string; path: string; status: number; isWhole: boolean; };

/** Status 0: the connection ended without a whole head. */
const call = (
    { ip, callerPort: port }: EntryProcesses,
    entry: number,
    path: string,
    requestId: string,
    agent: Agent,
): Promise<Outcome> =>
    new Promise(resolve => {
        const settle = (status: number, isWhole: boolean): void => resolve({ requestId, path, status, isWhole });
        const outgoing = startRequest({
            host: ip(entry),
            port,
            path,
            method: "POST",
            agent,
            headers: {
                "host": "portal.example",
                [headerNames.requestId]: requestId,
                [headerNames.remainingTimeout]: "2000",
                [headerNames.authorization]: `Bearer ${validApiKey}`,
                ...path.startsWith("/talk/") ? { [headerNames.tokenUsage]: "40,80" } : {},
            },
        }, response => {
            response.resume();
            response.on("error", () => undefined);
            response.once("close", () => settle(response.statusCode ?? 0, response.complete));
        });
        outgoing.once("error", () => settle(0, false));
        outgoing.end();
    });

describe("entries that are stopped in series and overlapping", () => {
    let folder: string;
    let store: KeyedStore;
    let bookings: ScriptedServer;
    let model: SealedServer;

    beforeEach(async () => {
        folder = await mkdtemp(join(tmpdir(), "stops-"));
        store = await startKeyedStore();
        model = await startSealedServer("i-model", { events: 60, eventMilliseconds: 10 });
    });

    afterEach(async () => {
        killAllPrograms();
        await Promise.all([store.close(), bookings.close(), model.close()]);
        await rm(folder, { recursive: true });
    });

    const list = ({ id, address }: { id: string; address: string; }, service: string): void =>
        store.put(topics.upstreams, id, {
            service,
            address,
            zone: "medina",
            slots: 100,
            state: "ready",
            seq: 1,
            coldLeftMs: 0,
            born: 1_700_000_000_000,
        });

    const play = async (seed: number): Promise<void> => {
        const random = seededRandom(seed);
        bookings = await startScriptedServer("i-0", {
            onRequest: (socket, { requestId }) =>
                void setTimeout(() => socket.write(answer(200, requestId, "booked")), random() * 600),
        });
        store.put(topics.operator, "config", standardConfiguration(1));
        list(bookings, "catalogue");
        list(model, "model");
        const fleet = await createEntryProcesses(folder, store, graceSeconds);
        await Promise.all([...Array(entries).keys()].map(fleet.start));
        const endsAt = performance.now() + playMilliseconds;
        const isOver = (): boolean => performance.now() > endsAt;
        const outcomes: Outcome[] = [];

        const callInTurn = async (caller: number): Promise<void> => {
            const agent = new Agent({ keepAlive: true, maxSockets: 1 });
            let entry = caller % entries;
            for (let turn = 0; !isOver(); turn += 1) {
                const path = turn % 2 === 0 ? "/talk/1" : "/book/1";
                const outcome = await call(fleet, entry, path, `${seed}-${caller}-${turn}`, agent);
                outcomes.push(outcome);
                if (outcome.status === 0) {
                    entry = (entry + 1) % entries;
                    await pause(10);
                }
            }
            agent.destroy();
        };

        const stopInTurn = async (entry: number): Promise<void> => {
            await pause(random() * 3_000);
            while (!isOver()) {
                const { program } = fleet.current(entry);
                const stoppedAt = performance.now();
                program.sendSignal("SIGTERM");
                if (random() < 0.5) {
                    await pause(random() * 2_000);
                    program.sendSignal(random() < 0.5 ? "SIGTERM" : "SIGINT");
                }
                expect(await program.exited, `seed ${seed}, entry ${entry}:\n${program.output()}`).to.equal(0);
                expect(performance.now() - stoppedAt).to.be.lessThan(graceSeconds * 1_000);
                await fleet.start(entry);
                await pause(random() * 1_500);
            }
        };

        await Promise.all([
            ...[...Array(callers).keys()].map(callInTurn),
            ...[...Array(entries).keys()].map(stopInTurn),
        ]);
        const booked = outcomes.filter(({ path }) => path === "/book/1");
        const ran = (requestId: string): number => bookings.receivedIds.filter(id => id === requestId).length;
        const problems = booked.filter(({ requestId, status, isWhole }) =>
            ran(requestId) > 1 || ran(requestId) === 1 && !isWhole || ran(requestId) > 0 && promises.includes(status)
        );
        expect(problems, `seed ${seed}`).to.deep.equal([]);
        expect(booked.filter(({ status }) => status === 200).length).to.be.greaterThan(30);
    };

    for (let seed = 1; seed <= seeds; seed += 1) {
        it(`lose no booking, run none twice and refuse none that ran (seed ${seed})`, () => play(seed)).timeout(60_000);
    }
});
