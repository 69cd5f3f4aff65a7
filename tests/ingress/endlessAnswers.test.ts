/**
 * Servers that send without end, in every part of an answer, beside sound ones, at an entry process as it is deployed with
 * 350 MB. Guards against memory and processor time that grow with what servers send: the process ended, or the callers of
 * sound servers got no answer.
 */
import { expect } from "chai";
import { readFileSync } from "node:fs";
import { type FloodServer, startFloodServer } from "../support/floodServer.js";
import { killAllPrograms, type Program, startNode } from "../support/processes.js";
import { callSlowly, type EntryProcess, startEntryProcess } from "../support/slowCaller.js";

const memoryMegabytes = 350;
const faultyServers = 16;
const soundServers = 4;
const faultyAnswersAtOnce = 60;
const soundStreams = 8;
const events = 40;
const eventMilliseconds = 33;
/** Rounds in which an entry beside it, without faulty servers, meets the targets too. */
const judgedRounds = 2;
const maximumRounds = 6;
/** The stated targets of a sound stream's events and of a plain answer. */
const passMilliseconds = 120;
const plainLimitMilliseconds = 1_000;

const eventIds = (count: number): number[] => Array.from({ length: count }, (unused, index) => index + 1);

const peakMegabytes = ({ pid }: Program): number =>
    Number(/VmHWM:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, "utf8"))?.[1]) * 1_024 / 1_000_000;

const startPeers = (parameters: string[]): Program =>
    startNode(`endless ${parameters[0]}`, ["dist/tests/support/endlessPeers.js", ...parameters], {
        env: { PATH: process.env.PATH },
    });

const plainPath = "/flood-plain/1";
const streamPath = "/flood/1";
const forms = [
    ["head", plainPath],
    ["interim responses", plainPath],
    ["body with a length", plainPath],
    ["body without a length", plainPath],
    ["body in chunks of one byte", plainPath],
    ["trailers", plainPath],
    ["events", streamPath],
    ["comments", streamPath],
    ["event in small parts", streamPath],
] as const;

type Round = { failures: string[]; latest: number; slowestPlain: number; };

describe("16 of 20 servers that send without end, asked for 60 answers at once", () => {
    let entries: EntryProcess[];
    let servers: FloodServer[];
    const sentAt = new Map<string, number>();
    const quietRoundsOf = new Map<string, Round[]>();

    beforeEach(() => {
        entries = [];
        servers = [];
        sentAt.clear();
    });

    afterEach(async () => {
        await Promise.all(entries.map(entry => entry.stop()));
        killAllPrograms();
        await Promise.all(servers.map(server => server.close()));
    });

    const playRound = async ({ callers }: EntryProcess, name: string): Promise<Round> => {
        const failures: string[] = [];
        let latest = 0;
        let slowestPlain = 0;
        const plainCalls: Promise<void>[] = [];
        const callPlain = async (requestId: string): Promise<void> => {
            const startedAt = performance.now();
            const options = { requestId, isStream: false, timeoutMilliseconds: plainLimitMilliseconds };
            const { status, isComplete } = await callSlowly(callers, "/read/1", options);
            slowestPlain = Math.max(slowestPlain, performance.now() - startedAt);
            if (status !== 200 || !isComplete) {
                failures.push(`${requestId}: ${status}`);
            }
        };
        await Promise.all(
            eventIds(soundStreams).map(async index => {
                const requestId = `${name}-${index}`;
                const { isComplete, eventIds: received } = await callSlowly(callers, "/talk/1", {
                    requestId,
                    onEvent: id => {
                        latest = Math.max(latest, performance.now() - (sentAt.get(`${requestId} ${id}`) ?? 0));
                        if (index === 1) {
                            plainCalls.push(callPlain(`${name}-plain-${id}`));
                        }
                    },
                });
                if (!isComplete || received.length !== events) {
                    failures.push(`${requestId}: ${received.length} events`);
                }
            }),
        );
        await Promise.all(plainCalls);
        return { failures, latest, slowestPlain };
    };

    const play = async (form: string, path: string): Promise<void> => {
        const faulty = startPeers(["servers", form, String(faultyServers)]);
        const { addresses } = await faulty.waitForEvent("listening");
        servers = await Promise.all([
            ...eventIds(soundServers).map(index => startFloodServer(`plain-${index}`, { events: 10, eventBytes: 400 })),
            startFloodServer("model", {
                events,
                eventBytes: 400,
                eventMilliseconds,
                onSend: (id, requestId) => void sentAt.set(`${requestId} ${id}`, performance.now()),
            }),
        ]);
        const listed = [
            ...addresses.map((address, index) => ({ id: `flood-${index}`, address, service: "flood" })),
            ...servers.map(({ id, address }) => ({ id, address, service: id === "model" ? "model" : "catalogue" })),
        ];
        // The second entry serves the same sound servers and gets no faulty answers.
        entries = await Promise.all([1, 2].map(() => startEntryProcess(memoryMegabytes, listed, [])));
        const [entry, control] = entries as [EntryProcess, EntryProcess];
        startPeers(["callers", entry.callers, path, String(faultyAnswersAtOnce)]);
        await faulty.waitForEvent(({ event, begun }) => event === "flooding" && Number(begun) >= faultyServers);
        const ended = entry.program.exited.then(status =>
            expect.fail(`the entry ended with ${status}:\n${entry.program.output().slice(-2_000)}`)
        );
        const failures: string[] = [];
        const quietRounds: Round[] = [];
        for (let round = 1; round <= maximumRounds && quietRounds.length < judgedRounds; round += 1) {
            const played = Promise.all([playRound(entry, `stream-${round}`), playRound(control, `control-${round}`)]);
            const [beside, alone] = await Promise.race([played, ended]);
            failures.push(...beside.failures);
            // Where an entry without faulty servers is late too, the machine is the cause.
            if (alone.latest <= passMilliseconds && alone.slowestPlain <= plainLimitMilliseconds) {
                quietRounds.push(beside);
            }
            console.log(
                `    ${form}, round ${round}: latest event ${Math.round(beside.latest)} ms (${
                    Math.round(alone.latest)
                } alone), `
                    + `slowest answer ${Math.round(beside.slowestPlain)} ms (${Math.round(alone.slowestPlain)} alone)`,
            );
        }
        const peak = peakMegabytes(entry.program);
        console.log(`    ${form}: peak ${Math.round(peak)} MB, ${failures.length} failed`);
        expect(failures, "sound callers").to.deep.equal([]);
        expect(peak, "peak resident memory in MB").to.be.lessThan(memoryMegabytes);
        quietRoundsOf.set(form, quietRounds);
    };

    for (const [form, path] of forms) {
        it(`(${form}) leave its memory bounded, and sound callers get whole answers`, () => play(form, path));

        // Judges the rounds of the test before it.
        it(`(${form}) make no event or plain answer of sound servers late`, () => {
            const quietRounds = quietRoundsOf.get(form) ?? [];
            expect(quietRounds.length, "rounds that tell").to.equal(judgedRounds);
            quietRounds.forEach(({ latest, slowestPlain }) => {
                expect(latest, "latest event of a sound stream in ms").to.be.at.most(passMilliseconds);
                expect(slowestPlain, "slowest plain answer in ms").to.be.at.most(plainLimitMilliseconds);
            });
        });
    }
});

describe("sound streams", () => {
    let entry: EntryProcess;
    let servers: FloodServer[] = [];

    afterEach(async () => {
        await entry.stop();
        await Promise.all(servers.map(server => server.close()));
    });

    it("that are slow, and fast ones of 20,000 events at once, arrive whole", async () => {
        servers = await Promise.all([
            startFloodServer("slow", { events: 3, eventBytes: 400, eventMilliseconds: 1_500 }),
            startFloodServer("fast", { events: 20_000, eventBytes: 65 }),
        ]);
        entry = await startEntryProcess(
            memoryMegabytes,
            servers.map(({ id, address }) => ({ id, address, service: id === "slow" ? "model" : "flood" })),
            [],
        );
        const [slow, fast] = await Promise.all([
            callSlowly(entry.callers, "/talk/1", { requestId: "slow" }),
            // The longest time limit of the deployments in use.
            callSlowly(entry.callers, "/flood/1", { requestId: "fast", timeoutMilliseconds: 8_000 }),
        ]);
        expect(slow).to.deep.equal({ ...slow, isComplete: true, eventIds: eventIds(3) });
        expect(fast).to.deep.equal({ ...fast, isComplete: true, eventIds: eventIds(20_000) });
        expect(servers.map(({ requests }) => requests)).to.deep.equal([["slow"], ["fast"]]);
    });
});
