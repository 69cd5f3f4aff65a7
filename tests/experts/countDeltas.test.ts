import { expect } from "chai";
import { type CountDelta, createCountsReader, createCountsWriter } from "../../src/protocol/countDeltas.js";
import { seededRandom } from "../support/random.js";

const layers = 12;
const experts = 128;
/** Smallest link of a rank's machine on the grown deployments, in bytes a second, and how often counts are told. */
const linkBytesPerSecond = 5_600_000 / 8;
const messagesPerSecond = 1_000 / 300;
const ranks = 32;

/** Counts of one rank after each reading: requests that favour few experts, and now and then a long prompt. */
const readings = (count: number): number[][] => {
    const random = seededRandom(11);
    const counts = new Array<number>(layers * experts).fill(0);
    return [...Array(count).keys()].map(reading => {
        for (let layer = 0; layer < layers; layer += 1) {
            for (let token = 0; token < (reading % 5 === 0 ? 4_000 : 600); token += 1) {
                const index = layer * experts + Math.floor(experts * random() ** 2);
                counts[index] = (counts[index] ?? 0) + 1;
            }
        }
        return counts.slice();
    });
};

const growth = (after: number[], before: number[]): number[] =>
    after.map((count, index) => count - (before[index] ?? 0));

describe("counts told as growth", () => {
    it("give back how the counts grew, from message to message", () => {
        const writer = createCountsWriter();
        const reader = createCountsReader();
        const told = readings(8);
        const read = told.map((counts, index) => reader.read(1, writer.write(1, index * 4, counts))._unsafeUnwrap());
        for (let index = 1; index < told.length; index += 1) {
            expect(growth(read[index] as number[], read[index - 1] as number[]))
                .to.deep.equal(growth(told[index] as number[], told[index - 1] as number[]));
        }
    });

    it("of a large group fit into half of the link of its coordinator's machine", () => {
        const writer = createCountsWriter();
        const sizes = readings(20).map((counts, index) => writer.write(1, index, counts).growth.length);
        const mean = sizes.reduce((total, size) => total + size, 0) / sizes.length;
        expect(mean * ranks * messagesPerSecond).to.be.lessThan(linkBytesPerSecond / 2);
    });

    it("make up for a lost message by the pace of the next one", () => {
        const writer = createCountsWriter();
        const reader = createCountsReader();
        const steady = [0, 10, 20, 30];
        const messages = steady.map((count, index) => writer.write(1, index * 4, [count, 2 * count]));
        const kept = [...messages.slice(0, 2), ...messages.slice(3)];
        const read = kept.map(message => reader.read(1, message)._unsafeUnwrap());
        expect(growth(read[2] as number[], read[0] as number[])).to.deep.equal([30, 60]);
    });

    it("start anew in a new epoch, where the engine counts from zero", () => {
        const writer = createCountsWriter();
        const reader = createCountsReader();
        reader.read(1, writer.write(1, 50, [900]));
        const first = reader.read(2, writer.write(2, 3, [40]))._unsafeUnwrap();
        const second = reader.read(2, writer.write(2, 7, [55]))._unsafeUnwrap();
        expect(growth(second, first)).to.deep.equal([15]);
    });

    it("are refused when they can't be read", () => {
        const unreadable: CountDelta = { fromStep: 0, step: 1, growth: "no deflated numbers" };
        expect(createCountsReader().read(1, unreadable).isErr()).to.equal(true);
    });
});
