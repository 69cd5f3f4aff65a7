/**
 * Entries as processes that are stopped, killed and started again in series and overlapping, while servers end their answers
 * in every way that HTTP allows, break some off, die and leave, and the configuration changes. No caller loses an answer that
 * a server has given, or gets another one, an incomplete one or parts of it twice.
 *
 * `CYCLAMENGAP_SEEDS` gives the number of seeds, `CYCLAMENGAP_FIRST_SEED` the first, `CYCLAMENGAP_ENTRIES` the number of
 * entries; each seed plays for 15 s.
 */
import { expect } from "chai";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { topics } from "../../platform/names.js";
import { type KeyedStore, startKeyedStore } from "../../src/standin/keyedStore.js";
import { describeProblem, judgeCall, type JudgedCall, type Problem } from "../support/answerJudge.js";
import { createEntryProcesses, type EntryProcesses } from "../support/entryProcesses.js";
import { openPipeliningConnection, type PipeliningConnection } from "../support/pipeliningCaller.js";
import { standardConfiguration } from "../support/platformDeployment.js";
import { killAllPrograms } from "../support/processes.js";
import { namedRandom } from "../support/random.js";
import { makeRequest, parseRequestId } from "../support/soakRequests.js";
import { startVariedServers, type VariedServers } from "../support/variedServers.js";

const seeds = Number(process.env.CYCLAMENGAP_SEEDS ?? 2);
const firstSeed = Number(process.env.CYCLAMENGAP_FIRST_SEED ?? 1);
const entries = Number(process.env.CYCLAMENGAP_ENTRIES ?? 3);
const callers = entries * 4;
const playMilliseconds = 15_000;
const graceSeconds = 5;
const brokenShare = 0.08;
const plainTimeoutMilliseconds = 2_000;
const streamTimeoutMilliseconds = 6_000;
const pause = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds));

const routesOf = (plain: string, model: string, extraRoute: string): object[] => {
    const { routes: [read, book, , talk] } = standardConfiguration(0) as { routes: [object, object, object, object]; };
    const chat = { ...talk, pathPrefix: "/chat/", name: "route/chat/", resumable: false };
    return [
        { ...read, service: plain },
        { ...book, service: plain },
        { ...talk, service: model },
        { ...chat, service: model },
        { ...read, name: extraRoute, pathPrefix: extraRoute },
    ];
};

describe("answers that end in every way, while entries are stopped", () => {
    let folder: string;
    let store: KeyedStore;
    let servers: VariedServers;
    let fleet: EntryProcesses;
    let calls: JudgedCall[];
    let strayTexts: string[];

    beforeEach(async () => {
        folder = await mkdtemp(join(tmpdir(), "stops-"));
        store = await startKeyedStore();
        calls = [];
        strayTexts = [];
    });

    afterEach(async () => {
        killAllPrograms();
        await Promise.all([store.close(), servers.close()]);
        await rm(folder, { recursive: true });
    });

    const configure = (version: number): void => {
        const [plain, model] = [["catalogue", "archive"], ["model", "model-2"]].map(services => services[version % 2]!);
        store.put(
            topics.operator,
            "config",
            standardConfiguration(version, {
                routes: routesOf(plain!, model!, `/extra-${version}/`),
                services: ["catalogue", "archive", "model", "model-2"].map(name => ({ name })),
            }),
        );
    };

    /** Sends one request or several at once, and waits for their ends. */
    const callOnce = async (connection: PipeliningConnection, entry: number, name: string): Promise<void> => {
        const random = namedRandom(name);
        const process = fleet.current(entry);
        const pipelined = random() < 0.15 ? 1 + Math.floor(random() * 2) : 0;
        const sent: Promise<number>[] = [];
        for (let index = 0; index <= pipelined; index += 1) {
            if (index > 0 && random() < 0.5) {
                await pause(random() * 200);
            }
            if (index === 0 || !connection.isClosing()) {
                const { requestId, patience, text } = makeRequest(`${name}-${index}`, random);
                const timeout = parseRequestId(requestId).events > 0
                    ? streamTimeoutMilliseconds
                    : plainTimeoutMilliseconds;
                const limitMilliseconds = Math.min(patience, timeout);
                sent.push(
                    connection.send(requestId, text)
                        .then(outcome => calls.push({ ...outcome, entry: process, limitMilliseconds })),
                );
            }
        }
        await Promise.all(sent);
    };

    const callInTurn = async (seed: number, caller: number, isOver: () => boolean): Promise<void> => {
        const random = namedRandom(`${seed} caller ${caller}`);
        const keepsUsing = random() < 0.5;
        let entry = caller % entries;
        let connection: PipeliningConnection | undefined;
        for (let turn = 0; !isOver(); turn += 1) {
            connection ??= await openPipeliningConnection(`${fleet.ip(entry)}:${fleet.callerPort}`);
            if (connection === undefined) {
                entry = (entry + 1) % entries;
                await pause(10);
                continue;
            }
            await callOnce(connection, entry, `${seed}-${caller}-${turn}`);
            if (connection.hasEnded() || connection.isClosing() && !keepsUsing || random() < 0.2) {
                strayTexts.push(connection.strayText());
                connection.end();
                connection = undefined;
                entry = random() < 0.5 ? (entry + 1) % entries : entry;
            }
        }
        connection?.end();
    };

    const stopOnce = async (entry: number, random: () => number): Promise<void> => {
        const process = fleet.current(entry);
        const { program } = process;
        if (random() < 0.15) {
            process.killedAt = performance.now();
            await program.kill();
        }
        else {
            process.stoppedAt = performance.now();
            program.sendSignal("SIGTERM");
            if (random() < 0.5) {
                await pause(random() * 2_000);
                program.sendSignal(random() < 0.5 ? "SIGTERM" : "SIGINT");
            }
            if (random() < 0.1) {
                process.killedAt = performance.now();
                await program.kill();
            }
            else {
                expect(await program.exited, program.output()).to.equal(0);
                expect(performance.now() - process.stoppedAt).to.be.lessThan(graceSeconds * 1_000);
            }
        }
        await fleet.start(entry);
    };

    /** In series, or each entry by itself, so that stops overlap. */
    const stopInTurn = async (seed: number, isOver: () => boolean): Promise<void> => {
        const order = [...Array(entries).keys()];
        const groups = namedRandom(`${seed} stops`)() < 0.3 ? [order] : order.map(entry => [entry]);
        await Promise.all(groups.map(async group => {
            const random = namedRandom(`${seed} stops of ${group.join()}`);
            await pause(random() * 3_000);
            for (let turn = 0; !isOver(); turn += 1) {
                await stopOnce(group[turn % group.length]!, random);
                await pause(random() * 1_500);
            }
        }));
    };

    const reconfigureInTurn = async (seed: number, isOver: () => boolean): Promise<void> => {
        const random = namedRandom(`${seed} configurations`);
        for (let version = 2; !isOver(); version += 1) {
            await pause(500 + random() * 2_000);
            configure(version);
            const { program } = fleet.current(Math.floor(random() * entries));
            // A process that has just started has no handler for it yet.
            if (program.output().includes("configuration in force")) {
                program.sendSignal("SIGHUP");
            }
        }
    };

    const play = async (seed: number): Promise<void> => {
        servers = await startVariedServers({
            seed,
            store,
            services: ["catalogue", "archive", "model", "model-2"],
            serversPerService: 3,
            brokenShare,
        });
        configure(1);
        fleet = await createEntryProcesses(folder, store, graceSeconds);
        await Promise.all([...Array(entries).keys()].map(fleet.start));
        const endsAt = performance.now() + playMilliseconds;
        const isOver = (): boolean => performance.now() > endsAt;
        const ends = await Promise.allSettled([
            ...[...Array(callers).keys()].map(caller => callInTurn(seed, caller, isOver)),
            stopInTurn(seed, isOver),
            reconfigureInTurn(seed, isOver),
            servers.disturb(isOver),
        ]);
        const failed = ends.find(end => end.status === "rejected");
        if (failed !== undefined) {
            throw failed.reason;
        }
        await Promise.all(servers.runs.map(({ ended }) => ended));
        const problems = calls.flatMap(call => {
            const runs = servers.runs.filter(({ requestId }) => requestId === call.requestId);
            const problem: Problem | undefined = judgeCall(call, runs, graceSeconds * 1_000);
            return problem === undefined ? [] : [describeProblem(problem, call, runs)];
        });
        const strays = strayTexts.filter(text => text !== "").map(text => `MIXED: stray bytes ${text}`);
        if (problems.length + strays.length > 0) {
            expect.fail([`seed ${seed}, ${calls.length} calls`, ...problems, ...strays].join("\n"));
        }
        expect(calls.filter(({ isComplete, status }) => isComplete && status === 200).length).to.be.greaterThan(100);
    };

    for (let seed = firstSeed; seed < firstSeed + seeds; seed += 1) {
        it(`reach their callers whole, in order and once (seed ${seed})`, () => play(seed)).timeout(60_000);
    }
});
