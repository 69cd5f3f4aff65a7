/**
 * The bounds of what a process reads from its peers, on a stepped clock. Guards against peers that send without end: they
 * take memory or processor time from others, and against sound peers that are slowed down or cut for it.
 */
import { expect } from "chai";
import { createPeerReads, type PeerRead, type PeerReadKind, type PeerReads } from "../src/coordination/peerReads.js";
import { type SteppedClock, steppedClock } from "./support/steppedClock.js";

const kinds: PeerReadKind[] = ["answer", "stream", "store", "report", "entry"];

describe("reads from peers", () => {
    let clock: SteppedClock;
    let reads: PeerReads;

    beforeEach(() => {
        clock = steppedClock(0);
        reads = createPeerReads(clock);
    });

    /** Reads as the rule says until `endsAt`; returns the pieces. */
    const readUntil = async (read: PeerRead, bytes: number, pieces: number, endsAt: number): Promise<number> => {
        let count = 0;
        while (clock.now() < endsAt) {
            const verdict = read.take(bytes, pieces);
            if (verdict.kind === "end") {
                return count;
            }
            count += pieces;
            await clock.sleep(verdict.afterMilliseconds, new AbortController().signal);
        }
        return count;
    };

    /** How many times `once` may be called until it says to end the read. */
    const timesUntilEnd = (once: () => { kind: string; }, most: number): number => {
        let times = 0;
        while (times < most && once().kind === "go-on") {
            times += 1;
        }
        return times;
    };

    it("never wait for a sound stream of 30 events a second, also beside 60 that send without end", async () => {
        const floods = Array.from({ length: 60 }, () => readUntil(reads.open("stream"), 96, 32, 5_000));
        const sound = reads.open("stream");
        const waits: number[] = [];
        const play = async (): Promise<void> => {
            while (clock.now() < 5_000) {
                const verdict = sound.take(420, 5);
                waits.push(verdict.kind === "go-on" ? verdict.afterMilliseconds : Infinity);
                await clock.sleep(33, new AbortController().signal);
            }
        };
        const played = play();
        await clock.advance(6_000);
        await Promise.all([played, ...floods]);
        expect(waits.length).to.be.greaterThan(150);
        expect(Math.max(...waits)).to.equal(0);
    });

    it("bound what 60 streams without end cost by the allowance of the process and their own", async () => {
        const floods = Array.from({ length: 60 }, () => readUntil(reads.open("stream"), 96, 32, 10_000));
        await clock.advance(11_000);
        const lines = (await Promise.all(floods)).reduce((sum, count) => sum + count, 0);
        const allowance = 8_388_608 * 10 + 1_048_576 + 60 * (196_608 * 10 + 65_536);
        // Each read may take one slice more than it has.
        expect(lines * (512 + 3)).to.be.at.most(allowance + 60 * 32 * (512 + 3));
    });

    it("give a fast sound stream of 20,000 events of three lines the whole allowance while nobody else wants it", async () => {
        const stream = reads.open("stream");
        let events = 0;
        let endedAt = Infinity;
        const play = async (): Promise<void> => {
            for (; events < 20_000; events += 10) {
                const verdict = stream.take(650, 30);
                expect(verdict.kind).to.equal("go-on");
                if (verdict.kind === "go-on" && verdict.afterMilliseconds > 0) {
                    await clock.sleep(verdict.afterMilliseconds, new AbortController().signal);
                }
            }
            endedAt = clock.now();
        };
        const played = play();
        await clock.advance(8_000);
        await played;
        // The shortest time limit of a stream in the deployments in use is 6 s.
        expect(endedAt).to.be.lessThan(6_000);
    });

    it("end a whole answer above 16 MB, and no stream for its size", () => {
        const answer = reads.open("answer");
        expect(timesUntilEnd(() => answer.take(1_048_576, 0), 100)).to.equal(16);
        const stream = reads.open("stream");
        expect(timesUntilEnd(() => stream.take(1_048_576, 0), 100)).to.equal(100);
    });

    for (const kind of kinds) {
        it(`(${kind}) keep no more than 52 MB in all, and release it with each read`, () => {
            const open: PeerRead[] = [];
            const keepOne = (): { kind: string; } => {
                const read = reads.open(kind);
                open.push(read);
                return read.keep(1_000_000, 0);
            };
            const times = timesUntilEnd(keepOne, 1_000);
            expect(times).to.be.within(48, 52);
            open.forEach(read => read.close());
            expect(timesUntilEnd(keepOne, 1_000)).to.equal(times);
        });
    }

    it("keep a small answer although others have spent the budget", () => {
        const large = reads.openBuffer();
        expect(large.resize(100_000_000).kind).to.equal("end");
        expect(reads.open("answer").keep(20_000, 0).kind).to.equal("go-on");
        expect(reads.open("answer").keep(200_000, 0).kind).to.equal("end");
        large.close();
        expect(reads.open("answer").keep(200_000, 0).kind).to.equal("go-on");
    });

    it("count a buffer by what waits in it now", () => {
        const buffer = reads.openBuffer();
        for (let round = 0; round < 100; round += 1) {
            expect(buffer.resize(1_000_000).kind).to.equal("go-on");
            expect(buffer.resize(0).kind).to.equal("go-on");
        }
        buffer.resize(60_000_000);
        buffer.close();
        buffer.close();
        expect(reads.openBuffer().resize(50_000_000).kind).to.equal("go-on");
    });

    it("end a server after 32 interim responses", () => {
        const answer = reads.open("answer");
        expect(timesUntilEnd(answer.takeInterim, 100)).to.equal(32);
    });

    it("slow a fast read down to its own pace, not below it, beside 60 others", async () => {
        const read = reads.open("answer");
        let bytes = 0;
        const play = async (): Promise<void> => {
            const endsAt = clock.now() + 5_000;
            while (clock.now() < endsAt) {
                const verdict = read.take(4_096, 0);
                bytes += 4_096;
                await clock.sleep(
                    verdict.kind === "go-on" ? verdict.afterMilliseconds : Infinity,
                    new AbortController().signal,
                );
            }
        };
        const others = Array.from({ length: 60 }, () => readUntil(reads.open("stream"), 4_096, 0, clock.now() + 5_000));
        const played = play();
        await clock.advance(7_000);
        await Promise.all([played, ...others]);
        expect(bytes).to.be.at.least(5 * 196_608 * 0.9);
    });
});
