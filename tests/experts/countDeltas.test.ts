import { expect } from "chai";
import { type CountDelta, createCountDeltaDecoder, createCountDeltaEncoder } from "../../src/protocol/countDeltas.js";
import { seededRandom } from "../support/random.js";

const layers = 12;
const experts = 128;
/** Slowest link of a rank's machine in the larger deployments, and the rate at which counts are sent. */
const linkBytesPerSecond = 5_600_000 / 8;
const messagesPerSecond = 1_000 / 300;
const ranks = 32;

/**
 * Cumulative counts of one rank at each reading: requests that favour few experts, with a long prompt in every fifth
 * reading.
 */
const generateReadings = (count: number): number[][] => {
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

describe("count deltas", () => {
    it("restore the growth of the counts from message to message", () => {
        const writer = createCountDeltaEncoder();
        const reader = createCountDeltaDecoder();
        const originalCounts = generateReadings(8);
        const decodedCounts = originalCounts.map((counts, index) =>
            reader.decode(1, writer.encode(1, index * 4, counts))._unsafeUnwrap()
        );
        for (let index = 1; index < originalCounts.length; index += 1) {
            expect(growth(decodedCounts[index] as number[], decodedCounts[index - 1] as number[]))
                .to.deep.equal(growth(originalCounts[index] as number[], originalCounts[index - 1] as number[]));
        }
    });

    it("of a large group fit into half of the link of the coordinator's machine", () => {
        const writer = createCountDeltaEncoder();
        const sizes = generateReadings(20).map((counts, index) => writer.encode(1, index, counts).growth.length);
        const mean = sizes.reduce((total, size) => total + size, 0) / sizes.length;
        expect(mean * ranks * messagesPerSecond).to.be.lessThan(linkBytesPerSecond / 2);
    });

    it("fill in a lost message at the rate of the next one", () => {
        const writer = createCountDeltaEncoder();
        const reader = createCountDeltaDecoder();
        const steady = [0, 10, 20, 30];
        const messages = steady.map((count, index) => writer.encode(1, index * 4, [count, 2 * count]));
        const kept = [...messages.slice(0, 2), ...messages.slice(3)];
        const read = kept.map(message => reader.decode(1, message)._unsafeUnwrap());
        expect(growth(read[2] as number[], read[0] as number[])).to.deep.equal([30, 60]);
    });

    it("restart in a new epoch, where the engine counts from zero", () => {
        const writer = createCountDeltaEncoder();
        const reader = createCountDeltaDecoder();
        reader.decode(1, writer.encode(1, 50, [900]));
        const first = reader.decode(2, writer.encode(2, 3, [40]))._unsafeUnwrap();
        const second = reader.decode(2, writer.encode(2, 7, [55]))._unsafeUnwrap();
        expect(growth(second, first)).to.deep.equal([15]);
    });

    it("are rejected if they can't be decoded", () => {
        const unreadable: CountDelta = { fromStep: 0, step: 1, growth: "no deflated numbers" };
        expect(createCountDeltaDecoder().decode(1, unreadable).isErr()).to.equal(true);
    });
});
