/**
 * Crash reports in the platform's store: when an entry reads and writes them, and from when on it may serve.
 */
import { expect } from "chai";
import { err, ok } from "neverthrow";
import { type CrashEvidenceStore, startCrashEvidenceSync } from "../../src/coordination/ingress/crashEvidenceSync.js";
import { createIngressLog } from "../../src/coordination/ingress/ingressLog.js";
import type { FeedFailure } from "../../src/coordination/ingress/recordSource.js";
import type { CrashEvidence } from "../../src/state/crashEvidence.js";
import { steppedClock } from "../support/steppedClock.js";

const evidence = (run: string): CrashEvidence => ({
    crashes: [{ reporter: "entry-2", run, at: 1, suspects: [["bad"]] }],
    answers: [],
});

describe("synchronization of crash reports", () => {
    const lifetime = new AbortController();

    after(() => lifetime.abort());

    /** The store's reads fail with `failure` as long as it returns one. */
    const startSync = (readMilliseconds: number, failure: () => FeedFailure | undefined, entries = 9) => {
        const clock = steppedClock(0);
        const calls: string[] = [];
        const merged: string[] = [];
        const records = [evidence("run-1")];
        const read = async (name: string, from: number, waitMilliseconds: number, signal: AbortSignal) => {
            calls.push(name);
            await clock.sleep(records.length > from ? readMilliseconds : waitMilliseconds, signal);
            const failed = failure();
            return failed === undefined
                ? ok({ records: records.slice(from), next: { era: 0, offset: records.length } })
                : err(failed);
        };
        const store: CrashEvidenceStore = {
            readAll: signal => read("readAll", 0, 0, signal),
            readNewer: ({ offset }, waitMilliseconds, signal) => read("readNewer", offset, waitMilliseconds, signal),
            write: async (host, written) => {
                calls.push(`write ${host} ${written.crashes.length}`);
                return ok(undefined);
            },
        };
        const sync = startCrashEvidenceSync({
            host: "entry-1",
            store,
            table: {
                merge: ({ crashes }) => void merged.push(...crashes.map(({ run }) => run)),
                evidenceToStore: () => evidence("own"),
            },
            entries: () => entries,
            clock,
            log: createIngressLog(() => undefined, clock),
            random: () => 0.5,
            signal: lifetime.signal,
        });
        return { clock, sync, calls, merged, records };
    };

    it("lets an entry serve once it has read the reports of the others", async () => {
        const { clock, sync, merged } = startSync(300, () => undefined);
        await clock.advance(299);
        expect(sync.isSettled()).to.equal(false);
        await clock.advance(1);
        expect(sync.isSettled()).to.equal(true);
        expect(merged).to.deep.equal(["run-1"]);
    });

    it("lets an entry serve without them when the store does not answer for a second", async () => {
        const { clock, sync, calls } = startSync(5, () => ({ kind: "unavailable", reason: "down" }));
        await clock.advance(1_000);
        expect(sync.isSettled()).to.equal(false);
        expect(calls.length).to.be.within(4, 6);
        await clock.advance(1);
        expect(sync.isSettled()).to.equal(true);
    });

    it("writes nothing before the entry's own earlier reports have been read", async () => {
        const { clock, sync, calls } = startSync(500, () => undefined);
        sync.scheduleWrite();
        await clock.advance(499);
        expect(calls).to.deep.equal(["readAll"]);
        await clock.advance(100);
        expect(calls).to.include("write entry-1 1");
    });

    it("reads all records again when those that it waits for have been deleted", async () => {
        let failed: FeedFailure | undefined;
        const { clock, calls, records, merged } = startSync(5, () => failed);
        await clock.advance(500);
        failed = { kind: "truncated", reason: "deleted" };
        records.push(evidence("run-2"));
        await clock.advance(30_000);
        failed = undefined;
        await clock.advance(5_000);
        expect(calls.filter(call => call === "readAll").length).to.be.at.least(2);
        expect(merged).to.include("run-2");
    });

    it("polls less often the more entries there are, however often reports are written", async () => {
        const { clock, calls, records } = startSync(5, () => undefined, 1_400);
        for (let step = 0; step < 100; step += 1) {
            records.push(evidence(`run-${step}`));
            await clock.advance(100);
        }
        // The store of the users' sites serves 2,000 reads a second to all callers.
        expect(calls.length / 10 * 1_400).to.be.lessThan(2_000);
    });
});
