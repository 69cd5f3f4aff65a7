/**
 * The operator takes the keys away: a new version of the configuration whose list of tenants is empty. Checks that no request
 * runs with a key that no configuration ever held, and none with the key that was taken away, sent later than
 * `configApplyMs` after the acknowledgement.
 */
import { randomUUID } from "node:crypto";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { sendRequest, startTraffic } from "../standins-2/client.mjs";
import { createDeployment, heartbeatMilliseconds, sleep } from "../standins-2/deployment.mjs";
import { openRecord } from "../standins-2/record.mjs";
import { startStore } from "../standins-2/store.mjs";

const isDisrupted = process.env.TROUBLE !== "0";
const here = dirname(fileURLToPath(import.meta.url));
const record = openRecord(join(here, "record.txt"));

const host = "portal.example";
const knownKey = "portal-key";
const unknownKey = "key-that-nobody-has";
const requestsPerSecond = 10;
const configApplyMilliseconds = 2_000;

const configuration = (version, tenants) => ({
    version,
    routes: [{
        name: "publish",
        host,
        pathPrefix: "/datasets/",
        kind: "non_idempotent",
        timeoutMs: 1_000,
        goalMs: 500,
        priority: 2,
        service: "catalogue",
        attempts: 1,
    }],
    services: [{ name: "catalogue", healthPath: "/healthz", coldPerS: 36 }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    tenants,
});

const play = async (deployment, store) => {
    store.write("keyed.op", "config", configuration(1, [{ name: "fes", apiKeys: [knownKey] }]));
    const ran = [];
    for (const id of ["catalogue-1", "catalogue-2", "catalogue-3"]) {
        deployment.startServer({
            id,
            service: "catalogue",
            zone: "medina",
            slots: 8,
            store: store.address,
            heartbeatMilliseconds,
            workMilliseconds: 40,
        }, ({ kind, at, ...details }) => {
            record.add(`server ${kind}`, details, at);
            if (kind === "reached") {
                ran.push({ at, ...details });
            }
        });
    }
    const entries = await Promise.all([
        deployment.startEntry("entry-1", "medina", store.address),
        deployment.startEntry("entry-2", "medina", store.address),
    ]);
    await sleep(2_000);

    const answers = [];
    let sent = 0;
    const stopTraffic = startTraffic(requestsPerSecond, () => {
        const entry = entries[sent % entries.length];
        const key = sent % 4 < 2 ? knownKey : unknownKey;
        sent += 1;
        const requestId = randomUUID();
        record.add("client sends", { requestId, key, entry: entry.name });
        answers.push(
            sendRequest({
                address: entry.address,
                host,
                path: "/datasets/budget",
                requestId,
                key,
                body: JSON.stringify({ title: requestId }),
                deadline: 1_000,
            }).then(answer => {
                record.add("client got", { requestId, status: answer.status }, answer.endedAt);
                return { ...answer, key };
            }),
        );
    });
    await sleep(4_000);
    let takenAwayAt = Infinity;
    if (isDisrupted) {
        takenAwayAt = store.write("keyed.op", "config", configuration(2, []));
        record.add("operator: version 2 without tenants is acknowledged");
    }
    await sleep(8_000);
    stopTraffic();
    const byId = new Map((await Promise.all(answers)).map(answer => [answer.requestId, answer]));

    const withUnknownKey = ran.filter(({ requestId }) => byId.get(requestId)?.key === unknownKey);
    const withLostKey = ran.filter(({ requestId }) => {
        const request = byId.get(requestId);
        return request?.key === knownKey && request.sentAt > takenAwayAt + configApplyMilliseconds;
    });
    const statuses = [...byId.values()].map(({ key, status, sentAt }) =>
        `${sentAt > takenAwayAt + configApplyMilliseconds ? "after" : "before"}, ${key}: ${status}`
    );
    const counts = new Map();
    statuses.forEach(status => counts.set(status, (counts.get(status) ?? 0) + 1));
    const summary = [
        ...[...counts].map(([status, count]) => `${count} times ${status}`),
        `requests that ran with a key that no configuration ever held: ${withUnknownKey.length}`,
        `requests that ran with the key taken away, sent later than ${configApplyMilliseconds} ms after the `
        + `acknowledgement: ${withLostKey.length}`,
    ];
    if (ran.length === 0) {
        return { code: 2, summary: [...summary, "could not run: no request ran"] };
    }
    return withUnknownKey.length + withLostKey.length > 0
        ? { code: 1, summary: [...summary, "ROUTE is broken"] }
        : { code: 0, summary: [...summary, "ROUTE holds"] };
};

const deployment = createDeployment();
let result;
try {
    const store = await startStore({ heartbeatMilliseconds, note: record.add });
    result = await play(deployment, store).finally(store.close);
}
catch (error) {
    result = { code: 2, summary: [`could not run: ${error.stack}`] };
}
await deployment.stop();
await record.close(result.summary);
console.log(result.summary.join("\n"));
process.exit(result.code);
