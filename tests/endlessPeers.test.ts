/**
 * Peers of the own path that send bytes without end, many at once: the platform's log and host list, engines, services,
 * agents and other entries. Guards against processes that keep them until they run out of memory, or spend all their time
 * on them.
 */
import { expect } from "chai";
import { readWithoutEnd, startEndlessPeer } from "./support/endlessPeer.js";
import { killAllPrograms } from "./support/processes.js";

const rankMegabytes = 218;
const answerLimitMilliseconds = 1_000;
const readsAtOnce = 60;
/** Those that took the most memory or time when nothing bounded them, one of each kind. */
const costliestForms = ["no-length", "byte-chunks", "interim"];

describe("peers of the own path that send without end", () => {
    afterEach(killAllPrograms);

    const expectBounded = async (reader: string, forms: string[]): Promise<void> => {
        const peer = await startEndlessPeer(forms);
        const reads = await readWithoutEnd(reader, peer.address, readsAtOnce);
        expect(reads.succeeded).to.equal(0);
        expect(reads.peakMegabytes).to.be.lessThan(rankMegabytes);
        expect(reads.slowestAnswerMilliseconds).to.be.lessThan(answerLimitMilliseconds);
        expect(reads.answers).to.be.greaterThan(0);
    };

    const readers = [
        "log read",
        "host list",
        "state dump",
        "load probe",
        "service",
        "engine stream",
        "agent stream",
        "agent answer",
        "group report",
        "gossip",
        "map order",
    ];
    for (const reader of readers) {
        it(`end no process that reads them, nor hold up its answers (${reader})`, () =>
            expectBounded(reader, costliestForms));
    }
    for (const reader of ["engine stream", "agent stream"]) {
        it(`end no process that reads lines of them (${reader}, frames)`, () => expectBounded(reader, ["frames"]));
        it(`end no process that reads a line of them that never ends (${reader})`, () =>
            expectBounded(reader, ["no-length"]));
    }
});
