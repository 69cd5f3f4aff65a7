import { expect } from "chai";
import { createFairQueue, type QueueRequest } from "../src/coordination/fairQueue.js";
import { virtualClock } from "./support/virtualClock.js";

const settle = () => new Promise(resolve => setImmediate(resolve));

/** A queue before an upstream whose free places the test hands out one by one. */
const createQueue = (limit = 100) => {
    const clock = virtualClock();
    const queue = createFairQueue(clock, () => limit);
    const started: string[] = [];
    const refused: string[] = [];
    let freeCapacity = 0;
    const submit = (
        name: string,
        overrides: Partial<QueueRequest<string>> = {},
        signal = new AbortController().signal,
    ) => {
        const request: QueueRequest<string> = {
            clientAccount: name.split(" ")[0] ?? name,
            priority: "standard",
            tokens: 100,
            startDeadline: clock.now() + 60_000,
            tryStart: () => {
                if (freeCapacity === 0) {
                    return { kind: "wait" };
                }
                freeCapacity -= 1;
                return { kind: "done", value: name };
            },
            ...overrides,
        };
        void queue.submit(request, signal).then(result =>
            result.match(value => started.push(value), ({ kind }) => refused.push(`${name}: ${kind}`))
        );
    };
    const freeUp = async (count: number) => {
        await settle();
        freeCapacity += count;
        queue.dispatch();
        await settle();
    };
    return { clock, queue, started, refused, enter: submit, free: freeUp };
};

describe("fair queue", () => {
    it("starts a request at once while there are places, and queues it otherwise", async () => {
        const { queue, started, enter, free } = createQueue();
        await free(1);
        enter("portal 1");
        enter("portal 2");
        await settle();
        expect(started).to.deep.equal(["portal 1"]);
        expect(queue.length()).to.equal(1);
        await free(1);
        expect(started).to.deep.equal(["portal 1", "portal 2"]);
    });

    it("serves accounts by the tokens they ask for, however many requests one of them sends", async () => {
        const { started, enter, free } = createQueue();
        for (let call = 0; call < 20; call += 1) {
            enter(`bulk ${call}`);
        }
        enter("clerk 0");
        enter("clerk 1");
        enter("heavy 0", { tokens: 1_000 });
        enter("heavy 1", { tokens: 1_000 });
        await free(10);
        expect(started.filter(name => name.startsWith("clerk"))).to.have.length(2);
        expect(started.filter(name => name.startsWith("heavy"))).to.have.length(1);
        expect(started.slice(0, 3)).to.deep.equal(["bulk 0", "clerk 0", "heavy 0"]);
    });

    it("goes by priority first, and puts what resumes a started answer before all else", async () => {
        const { started, enter, free } = createQueue();
        enter("moulds", { priority: "batch" });
        enter("notices");
        enter("counter", { priority: "interactive" });
        enter("resumed", { priority: "batch", isResumed: true });
        await free(4);
        expect(started).to.deep.equal(["resumed", "counter", "notices", "moulds"]);
    });

    it("makes room in a full queue at the cost of the account that fills it", async () => {
        const { refused, enter } = createQueue(4);
        for (let call = 0; call < 5; call += 1) {
            enter(`bulk ${call}`);
        }
        await settle();
        enter("clerk 0");
        await settle();
        enter("counter 0", { priority: "interactive" });
        await settle();
        expect(refused).to.deep.equal(["bulk 4: full", "bulk 3: full", "bulk 2: full"]);
    });

    it("refuses at once what the measured rate can't start in time", async () => {
        const { clock, refused, enter, free } = createQueue();
        for (let call = 0; call < 20; call += 1) {
            enter(`bulk ${call}`);
        }
        for (let second = 0; second < 8; second += 1) {
            clock.advance(1_000);
            await free(1);
        }
        enter("late", { startDeadline: clock.now() + 3_000, priority: "batch" });
        enter("patient", { startDeadline: clock.now() + 30_000, priority: "batch" });
        enter("counter", { startDeadline: clock.now() + 3_000, priority: "interactive" });
        await settle();
        expect(refused).to.deep.equal(["late: too-late"]);
    });

    it("refuses a waiting request when its time to start has passed, and lets go of one that is cancelled", async () => {
        const { clock, queue, refused, enter } = createQueue();
        const caller = new AbortController();
        enter("gone", {}, caller.signal);
        enter("overtaken", { startDeadline: 5_000 });
        caller.abort();
        clock.advance(5_000);
        await settle();
        expect(refused).to.deep.equal(["gone: cancelled", "overtaken: too-late"]);
        expect(queue.length()).to.equal(0);
    });

    it("starts a request behind one that can't use the free place", async () => {
        const { started, enter, free } = createQueue();
        enter("picky", { tryStart: () => ({ kind: "wait" }) });
        enter("portal");
        await free(1);
        expect(started).to.deep.equal(["portal"]);
    });
});
