/**
 * The store is silent for the entries of one zone and serves the others. Then an operator takes a key away. Checks that the
 * other entries run no request with that key once the new configuration has to be in force.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { sleep } from "../standins/client.mjs";
import { apiKey, configuration, startDeployment } from "../standins/deployment.mjs";
import { createRecord } from "../standins/record.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const silentZone = "savo-iisalmi";
const silentMilliseconds = 9_000;
const configApplyMilliseconds = 2_000;
const maxStretchMilliseconds = 5_000;
const judgedMilliseconds = 25_000;
const requestIntervalMilliseconds = 250;
const revokedKey = "qq7f3k0a8m2x5c1b9d4e";
const okStatus = 200;

const withBothKeys = { tenants: [{ name: "hule930", apiKeys: [apiKey, revokedKey], priority: 2 }] };

const record = createRecord(dirname(fileURLToPath(import.meta.url)));
const arrivals = new Map();

const run = async () => {
    const deployment = await startDeployment({
        onRequest: arrival => {
            arrivals.set(arrival.requestId, arrival);
            record.add("run", arrival, arrival.at);
        },
    });
    const { store, entries, readStock } = deployment;
    const sent = [];
    let isOver = false;
    try {
        store.put("keyed.op", "config", configuration(104, withBothKeys));
        await sleep(4_000);
        const traffic = entries.map(async entry => {
            while (!isOver) {
                for (const key of [apiKey, revokedKey]) {
                    const answer = await readStock(entry, key);
                    const { requestId, sentAt, status, reason } = answer;
                    sent.push({ requestId, sentAt, status, key, entry });
                    record.add("answered", { requestId, key, entry: entry.name, status, reason }, answer.endedAt);
                }
                await sleep(requestIntervalMilliseconds);
            }
        });
        await sleep(3_000);
        if (hasTrouble) {
            const silent = entries.filter(({ zone }) => zone === silentZone);
            silent.forEach(({ storeProxy }) => storeProxy.silenceFor(silentMilliseconds));
            record.add("store silent", { forEntries: silent.map(({ name }) => name), silentMilliseconds });
        }
        await sleep(2_500);
        store.put("keyed.op", "config", configuration(108));
        const ackAt = performance.now();
        record.add("configuration acknowledged", { version: 108, withoutKey: revokedKey });
        const inForceAt = ackAt + configApplyMilliseconds + maxStretchMilliseconds;
        await sleep(inForceAt - ackAt + judgedMilliseconds);
        isOver = true;
        await Promise.all(traffic);
        const judged = sent.filter(({ key, sentAt, entry }) =>
            key === revokedKey && sentAt > inForceAt && entry.zone !== silentZone
        );
        const stale = judged.filter(({ requestId }) => arrivals.has(requestId));
        const lastSeconds = Math.max(0, ...stale.map(({ sentAt }) => (sentAt - ackAt) / 1_000)).toFixed(1);
        const staleEntries = new Set(stale.map(({ entry }) => entry.name)).size;
        const served = sent.filter(({ key, status }) => key === apiKey && status === okStatus).length;
        record.add("verdict", {
            ranWithRevokedKey: stale.length,
            of: judged.length,
            staleEntries,
            lastSeconds,
            served,
        });
        process.stdout.write(
            `${stale.length} of ${judged.length} requests ran with the key that was taken away over 7 s before, on `
                + `${staleEntries} entries that the store serves, the last ${lastSeconds} s after the ack\n`,
        );
        return judged.length < 100 || served < 100 ? 2 : stale.length > 0 ? 1 : 0;
    }
    finally {
        isOver = true;
        deployment.end();
    }
};

run().catch(error => {
    process.stderr.write(`${error.stack}\n`);
    return 2;
}).then(status => {
    record.write();
    process.exit(status);
});
