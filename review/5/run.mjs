/**
 * An operator takes a zone out while the store is away; the store returns from a copy that is some seconds old and
 * accepts the order. Checks that no entry sends requests to the zone's server once the order has to be in force.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { sleep } from "../standins/client.mjs";
import { configuration, startDeployment, zones } from "../standins/deployment.mjs";
import { createRecord } from "../standins/record.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const evacuatedZone = zones[1];
const evacuateMilliseconds = 5_000;
const maxStretchMilliseconds = 5_000;
const awayMilliseconds = 2_000;
const copyAgeMilliseconds = 3_000;
const operatorRetryMilliseconds = 20;
const judgedMilliseconds = 6_000;
const requestIntervalMilliseconds = 100;

const record = createRecord(dirname(fileURLToPath(import.meta.url)));
const sentAt = new Map();
const arrivals = [];

const run = async () => {
    const deployment = await startDeployment({
        onRequest: arrival => {
            arrivals.push(arrival);
            record.add("arrived", arrival, arrival.at);
        },
    });
    const { store, servers, entries, register, readStock, fleet } = deployment;
    let isOver = false;
    const traffic = entries.map(async entry => {
        while (!isOver) {
            const answer = await readStock(entry);
            const { requestId, status, reason } = answer;
            sentAt.set(requestId, { at: answer.sentAt, entry: entry.name });
            record.add("answered", { requestId, entry: entry.name, status, reason }, answer.endedAt);
            await sleep(requestIntervalMilliseconds);
        }
    });
    try {
        await sleep(5_000);
        if (hasTrouble) {
            store.put("keyed.op", "config", configuration(107));
            record.add("operator wrote a configuration", { version: 107 });
            await sleep(1_000);
            store.leave();
            record.add("store away");
            setTimeout(() => {
                store.returnFromCopy(copyAgeMilliseconds);
                record.add("store back", { copyAgeMilliseconds });
                // What the operator and the servers wrote is written again.
                store.put("keyed.op", "config", configuration(107));
                servers.forEach(register);
            }, awayMilliseconds);
        }
        else {
            await sleep(1_000);
        }
        await sleep(awayMilliseconds / 2);
        while (!store.put("keyed.op", `evacuate/${evacuatedZone}`, { zone: evacuatedZone })) {
            await sleep(operatorRetryMilliseconds);
        }
        const ackAt = performance.now();
        record.add("evacuation acknowledged", { zone: evacuatedZone });
        const inForceAt = ackAt + evacuateMilliseconds + maxStretchMilliseconds;
        await sleep(inForceAt - performance.now() + judgedMilliseconds);
        isOver = true;
        await Promise.all(traffic);
        const server = servers.find(({ zone }) => zone === evacuatedZone);
        const late = arrivals.filter(arrival =>
            arrival.server === server.id && (sentAt.get(arrival.requestId)?.at ?? 0) > inForceAt
        );
        const served = [...sentAt.values()].filter(({ at }) => at > inForceAt).length;
        const senders = [...new Set(late.map(({ requestId }) => sentAt.get(requestId).entry))];
        const died = entries.filter(({ name }) => fleet.processOf(name).exit !== undefined).map(({ name }) => name);
        record.add("verdict", { lateArrivals: late.length, senders, requestsJudged: served, died });
        process.stdout.write(
            `${late.length} of ${served} requests reached the evacuated zone over 10 s after the ack, from ${senders.length} `
                + `of ${entries.length} entries\n`,
        );
        return died.length > 0 || served < 100 ? 2 : late.length > 0 ? 1 : 0;
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
