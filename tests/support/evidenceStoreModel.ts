/**
 * Simulated topic of the platform's store with the crash reports of all entries.
 */
import { err, ok } from "neverthrow";
import type { CrashEvidenceStore } from "../../src/coordination/ingress/crashEvidenceSync.js";
import { createNotifier } from "../../src/coordination/notifier.js";
import type { CrashEvidence } from "../../src/state/crashEvidence.js";
import type { Clock } from "../../src/state/types.js";

const storeMilliseconds = 4;

/** `openFor` gives access to one entry, as long as `isAway` returns false. */
export const startEvidenceStoreModel = (clock: Clock) => {
    const stored: { host: string; evidence: CrashEvidence; }[] = [];
    const storeNotifier = createNotifier(clock);
    const openFor = (isAway: () => boolean): CrashEvidenceStore => {
        const unavailable = () => err({ kind: "unavailable" as const, reason: "cut off" });
        return {
            readAll: async signal => {
                await clock.sleep(storeMilliseconds, signal);
                const newest = new Map(stored.map(({ host, evidence }) => [host, evidence]));
                return isAway()
                    ? unavailable()
                    : ok({ records: [...newest.values()], next: { era: 0, offset: stored.length } });
            },
            readNewer: async ({ offset }, waitMilliseconds, signal) => {
                await clock.sleep(storeMilliseconds, signal);
                if (stored.length <= offset && !isAway()) {
                    await storeNotifier.wait("written", waitMilliseconds, signal);
                }
                const records = stored.slice(offset).map(({ evidence }) => evidence);
                return isAway() ? unavailable() : ok({ records, next: { era: 0, offset: offset + records.length } });
            },
            write: async (host, evidence, signal) => {
                await clock.sleep(storeMilliseconds, signal);
                if (isAway()) {
                    return err("cut off");
                }
                stored.push({ host, evidence: structuredClone(evidence) });
                storeNotifier.notify("written");
                return ok(undefined);
            },
        };
    };

    return { openFor };
};
