import { expect } from "chai";
import { createFairQueue, type QueueRequest } from "../src/coordination/fairQueue.js";
import { virtualClock } from "./support/virtualClock.js";

const settle = () => new Promise(resolve => setImmediate(resolve));

/** A queue in front of an upstream whose free capacity is set by the test. */
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
    return { clock, queue, started, refused, submit, freeUp };
};

describe("fair queue", () => {
    it("starts a request at once while there is free capacity, and queues it otherwise", async () => {
        const { queue, started, submit, freeUp } = createQueue();
        await freeUp(1);
        submit("portal 1");
        submit("portal 2");
        await settle();
        expect(started).to.deep.equal(["portal 1"]);
        expect(queue.length()).to.equal(1);
        await freeUp(1);
        expect(started).to.deep.equal(["portal 1", "portal 2"]);
    });

    it("divides capacity among accounts by requested tokens, regardless of their numbers of requests", async () => {
        const { started, submit, freeUp } = createQueue();
        for (let call = 0; call < 20; call += 1) {
            submit(`bulk ${call}`);
        }
        submit("clerk 0");
        submit("clerk 1");
        submit("heavy 0", { tokens: 1_000 });
        submit("heavy 1", { tokens: 1_000 });
        await freeUp(10);
        expect(started.filter(name => name.startsWith("clerk"))).to.have.length(2);
        expect(started.filter(name => name.startsWith("heavy"))).to.have.length(1);
        expect(started.slice(0, 3)).to.deep.equal(["bulk 0", "clerk 0", "heavy 0"]);
    });

    it("serves higher priorities first, and requests that resume a response before all others", async () => {
        const { started, submit, freeUp } = createQueue();
        submit("moulds", { priority: "batch" });
        submit("notices");
        submit("counter", { priority: "interactive" });
        submit("resumed", { priority: "batch", isResumed: true });
        await freeUp(4);
        expect(started).to.deep.equal(["resumed", "counter", "notices", "moulds"]);
    });

    it("evicts requests of the account with the most queued requests from a full queue", async () => {
        const { refused, submit } = createQueue(4);
        for (let call = 0; call < 5; call += 1) {
            submit(`bulk ${call}`);
        }
        await settle();
        submit("clerk 0");
        await settle();
        submit("counter 0", { priority: "interactive" });
        await settle();
        expect(refused).to.deep.equal(["bulk 4: full", "bulk 3: full", "bulk 2: full"]);
    });

    it("refuses a request at once if the measured rate does not allow it to start in time", async () => {
        const { clock, refused, submit, freeUp } = createQueue();
        for (let call = 0; call < 20; call += 1) {
            submit(`bulk ${call}`);
        }
        for (let second = 0; second < 8; second += 1) {
            clock.advance(1_000);
            await freeUp(1);
        }
        submit("late", { startDeadline: clock.now() + 3_000, priority: "batch" });
        submit("patient", { startDeadline: clock.now() + 30_000, priority: "batch" });
        submit("counter", { startDeadline: clock.now() + 3_000, priority: "interactive" });
        await settle();
        expect(refused).to.deep.equal(["late: too-late"]);
    });

    it("refuses a queued request when its start deadline has passed, and removes one that is cancelled", async () => {
        const { clock, queue, refused, submit } = createQueue();
        const caller = new AbortController();
        submit("gone", {}, caller.signal);
        submit("overtaken", { startDeadline: 5_000 });
        caller.abort();
        clock.advance(5_000);
        await settle();
        expect(refused).to.deep.equal(["gone: cancelled", "overtaken: too-late"]);
        expect(queue.length()).to.equal(0);
    });

    it("starts a request behind one that cannot use the free capacity", async () => {
        const { started, submit, freeUp } = createQueue();
        submit("picky", { tryStart: () => ({ kind: "wait" }) });
        submit("portal");
        await freeUp(1);
        expect(started).to.deep.equal(["portal"]);
    });
});
