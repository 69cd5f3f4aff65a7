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
        const allowance = 37_748_736 * 10 + 1_048_576 + 60 * (147_456 * 10 + 32_768);
        // Each read may take one slice more than it has.
        expect(lines * (384 + 3)).to.be.at.most(allowance + 60 * 32 * (384 + 3));
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

    it("end a whole answer above 16 MB, and no stream for its size", async () => {
        const answer = reads.open("answer");
        const sizes: number[] = [];
        for (let bytes = 16_384; bytes <= 33_554_432; bytes += 16_384) {
            const verdict = answer.take(16_384, 0);
            if (verdict.kind === "end") {
                expect(verdict.reason).to.equal("more than 16777216 bytes");
                break;
            }
            sizes.push(bytes);
            await clock.advance(verdict.afterMilliseconds);
        }
        expect(sizes.at(-1)).to.equal(16_777_216);
        const stream = reads.open("stream");
        expect(timesUntilEnd(() => stream.take(1_048_576, 0), 100)).to.equal(100);
    });

    for (const kind of kinds) {
        it(`(${kind}) keep no more than 34 MB in all, and release it with each read`, async () => {
            const open: PeerRead[] = [];
            const keepUntilEnd = async (): Promise<number> => {
                for (let times = 0; times < 1_000; times += 1) {
                    const read = reads.open(kind);
                    open.push(read);
                    if (read.keep(1_000_000, 0).kind === "end") {
                        return times;
                    }
                    await clock.advance(1_000);
                }
                return Infinity;
            };
            const times = await keepUntilEnd();
            expect(times).to.be.within(16, 33);
            open.forEach(read => read.close());
            expect(await keepUntilEnd()).to.equal(times);
        });
    }

    it("keep sound answers of 200 KB, and at most 34 MB in all, while 60 peers send without end", async () => {
        const floods = Array.from({ length: 60 }, () => reads.open("store"));
        const kept = floods.map(() => 0);
        let most = 0;
        for (let round = 0; round < 200; round += 1) {
            floods.forEach((flood, index) => {
                if (flood.keep(100_000, 0).kind === "end") {
                    flood.close();
                    floods[index] = reads.open("store");
                    kept[index] = 0;
                }
                else {
                    kept[index] = (kept[index] ?? 0) + 100_000;
                }
            });
            most = Math.max(most, kept.reduce((sum, bytes) => sum + bytes, 0));
            await clock.advance(1_000);
            const sound = reads.open("answer");
            expect(sound.keep(200_000, 0).kind).to.equal("go-on");
            sound.close();
        }
        expect(most).to.be.within(16_000_000, 33_554_432);
    });

    it("count a buffer by what waits in it now", () => {
        const buffer = reads.openBuffer();
        for (let round = 0; round < 100; round += 1) {
            expect(buffer.resize(1_000_000).kind).to.equal("go-on");
            expect(buffer.resize(0).kind).to.equal("go-on");
        }
        expect(buffer.resize(60_000_000).kind).to.equal("end");
        buffer.close();
        buffer.close();
        expect(reads.openBuffer().resize(16_000_000).kind).to.equal("go-on");
    });

    it("end 60 answers without end within 1 s, so that other servers can answer in time, and no stream", async () => {
        const lastAt = async (kind: PeerReadKind): Promise<number> => {
            const read = reads.open(kind);
            await readUntil(read, 16_384, 0, 2_000);
            return clock.now();
        };
        const answers = Array.from({ length: 60 }, () => lastAt("answer"));
        const stream = lastAt("stream");
        await clock.advance(3_000);
        expect(Math.max(...await Promise.all(answers))).to.be.lessThan(1_000);
        expect(await stream).to.be.at.least(2_000);
    });

    it("end a server after 32 interim responses", () => {
        const answer = reads.open("answer");
        expect(timesUntilEnd(answer.takeInterim, 100)).to.equal(32);
    });

    it("slow a fast read down to its own pace, not below it, beside 60 others", async () => {
        const read = reads.open("stream");
        let bytes = 0;
        const play = async (): Promise<void> => {
            const endsAt = clock.now() + 5_000;
            while (clock.now() < endsAt) {
                const verdict = read.take(32_768, 0);
                bytes += 32_768;
                await clock.sleep(
                    verdict.kind === "go-on" ? verdict.afterMilliseconds : Infinity,
                    new AbortController().signal,
                );
            }
        };
        const others = Array.from(
            { length: 60 },
            () => readUntil(reads.open("stream"), 32_768, 0, clock.now() + 5_000),
        );
        const played = play();
        await clock.advance(7_000);
        await Promise.all([played, ...others]);
        expect(bytes).to.be.at.least(5 * 147_456 * 0.9);
    });
});
