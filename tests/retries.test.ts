import { expect } from "chai";
import { err, ok, type Result } from "neverthrow";
import type { AttemptFailure, ModelAttempt, ModelCompletion, TokenHandler } from "../src/coordination/attempts.js";
import { runCompletion } from "../src/coordination/completionTask.js";
import { createEntryRouter } from "../src/coordination/entryRouter.js";
import { createUpstreamDirectory } from "../src/coordination/upstreamDirectory.js";
import { refusal } from "../src/state/errors.js";
import type { HostRecord, LoadReport } from "../src/state/types.js";
import { advanceUntil } from "./support/advanceUntil.js";
import { seededRandom } from "./support/random.js";
import { steppedClock } from "./support/steppedClock.js";

const load = (overrides: Partial<LoadReport> = {}): LoadReport => ({
    state: "warm",
    incarnation: "first",
    running: 0,
    limit: 1,
    outstandingTokens: 0,
    tokensPerSecond: 100,
    takenAt: 0,
    ...overrides,
});

type Attempt = (attempt: ModelAttempt, onToken: TokenHandler, host: string) => Result<ModelCompletion, AttemptFailure>;

const completeAttempt: Attempt = (attempt, onToken) => {
    for (let index = attempt.resumeFrom; index < attempt.maximumTokens; index += 1) {
        onToken(index, `${index} `);
    }
    return ok({ tokens: attempt.maximumTokens, finishReason: "stop", load: load() });
};

/** Sends `tokens` tokens after those that the caller has, then fails. */
const failAttempt = (failure: AttemptFailure, tokens = 0): Attempt => (attempt, onToken) => {
    for (let index = attempt.resumeFrom; index < attempt.resumeFrom + tokens; index += 1) {
        onToken(index, `${index} `);
    }
    return err(failure);
};

/** An entry with two upstreams; `script` defines the results of its first attempts, and all later ones complete. */
const createEntry = (script: Attempt[], { budget = 100, hosts = ["near-0", "near-1"] } = {}) => {
    const clock = steppedClock(0);
    const random = seededRandom(3);
    const directory = createUpstreamDirectory({
        clock,
        host: "entry-1",
        availabilityZone: "medina",
        isZoneOutOfService: () => false,
    });
    directory.replaceHosts(
        1,
        hosts.map((host, rank): HostRecord => ({
            host,
            availabilityZone: "medina",
            role: "upstream",
            state: "live",
            address: `127.0.0.1:${9000 + rank}`,
            serves: { kind: "group", group: "council", rank },
        })),
    );
    hosts.forEach(host => directory.observeLoad(host, load()));
    const routing = createEntryRouter({
        directory,
        clock,
        random,
        groupsOfModel: () => ["council"],
        queueLimit: () => 10,
    });
    const triedHosts: string[] = [];
    let retries = 0;
    const texts: string[] = [];
    const run = () =>
        runCompletion(
            {
                chooser: routing,
                attemptClient: {
                    runModel: async (upstream, attempt, onToken) => {
                        triedHosts.push(upstream.host);
                        return (script.shift() ?? completeAttempt)(attempt, onToken, upstream.host);
                    },
                    runService: async () => err({ kind: "cut", reason: "" }),
                },
                clock,
                newAttemptId: () => `attempt-${triedHosts.length}`,
                takeRetry: () => ++retries <= budget,
                onAttempt: () => undefined,
            },
            {
                requestId: "request",
                clientAccount: "portal",
                priority: "interactive",
                model: "council",
                prompt: "Summarise",
                maximumTokens: 5,
                digest: "digest",
            },
            { deadline: clock.now() + 10_000, maximumRetries: 2 },
            text => texts.push(text),
            new AbortController().signal,
        );
    return { clock, directory, run, tried: triedHosts, texts, retries: () => retries };
};

const cut: AttemptFailure = { kind: "cut", reason: "connection reset" };
const crashed: AttemptFailure = { kind: "crashed", reason: "connection reset" };

describe("retries of a completion", () => {
    it("resumes an interrupted response on another upstream without drawing on the retry budget", async () => {
        const entry = createEntry([failAttempt(cut, 2)], { budget: 0 });
        expect((await entry.run()).isOk()).to.equal(true);
        expect(entry.texts.join("")).to.equal("0 1 2 3 4 ");
        expect(new Set(entry.tried).size).to.equal(2);
    });

    it("repeats an attempt that made no progress only within the retry budget", async () => {
        const entry = createEntry([failAttempt(cut)], { budget: 0 });
        expect((await entry.run())._unsafeUnwrapErr()).to.include({ code: "interrupted", outcome: "unknown" });
        const within = createEntry([failAttempt(cut)], { budget: 1 });
        expect((await within.run()).isOk()).to.equal(true);
        expect(within.retries()).to.equal(1);
    });

    it("limits a request that crashes upstreams to its own retries, even if each attempt made progress", async () => {
        const entry = createEntry(Array<Attempt>(10).fill(failAttempt(crashed, 1)));
        const { directory, clock } = entry;
        const ended = entry.run();
        let isOver = false;
        void ended.then(() => isOver = true);
        await advanceUntil(clock, () => {
            ["near-0", "near-1"].forEach(host => directory.observeLoad(host, load({ takenAt: clock.now() })));
            return isOver;
        });
        expect((await ended)._unsafeUnwrapErr().code).to.equal("interrupted");
        expect(entry.tried).to.have.length(3);
    });

    it("waits for free capacity when admission is refused, without drawing on the retry budget", async () => {
        const full = (takenAt: number): Attempt =>
            failAttempt({
                kind: "refused",
                refusal: refusal("upstream-full", ["near"]),
                load: load({ running: 1, takenAt }),
            });
        const entry = createEntry([full(1), full(1)], { budget: 0 });
        const ended = entry.run();
        await advanceUntil(entry.clock, () => entry.tried.length === 2);
        entry.directory.observeLoad("near-1", load({ takenAt: 500 }));
        expect((await ended).isOk()).to.equal(true);
        expect(entry.tried.at(-1)).to.equal("near-1");
    });

    it("refuses a request at once if no upstream serves it, and waits briefly for one that may recover", async () => {
        expect((await createEntry([], { hosts: [] }).run())._unsafeUnwrapErr()).to.include({
            code: "no-upstream",
            outcome: "not-run",
            retryAfterSeconds: 1,
        });

        const entry = createEntry([]);
        ["near-0", "near-1"].forEach(entry.directory.observeFailure);
        const ended = entry.run();
        await advanceUntil(entry.clock, () => entry.clock.now() >= 500);
        expect(entry.tried).to.have.length(0);
        entry.directory.observeLoad("near-0", load({ takenAt: 500 }));
        expect((await ended).isOk()).to.equal(true);
    });

    it("returns an agent's final refusal to the caller", async () => {
        const entry = createEntry([failAttempt({ kind: "refused", refusal: refusal("quarantined", ["digest"]) })]);
        expect((await entry.run())._unsafeUnwrapErr().code).to.equal("quarantined");
        expect(entry.tried).to.have.length(1);
    });
});
