/**
 * The entries are stopped with SIGTERM and started again in turn, while callers use kept connections. Checks that each
 * booking that a server ran has an answer.
 */
import { Agent } from "node:http";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { call, ready, sleep } from "../standins/client.mjs";
import { apiKey, host, startDeployment } from "../standins/deployment.mjs";
import { createRecord } from "../standins/record.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const callersPerEntry = 4;
const pauseMilliseconds = 150;
const graceMilliseconds = 8_000;
/** Traffic on all connections before the first stop, and after the last start. */
const calmMilliseconds = 5_000;
const restartMilliseconds = 500;
const body = "x".repeat(600);

const record = createRecord(dirname(fileURLToPath(import.meta.url)));
const run = new Map();
const lost = [];
let answered = 0;

/** A caller: asks for a summary and books on the same kept connection, and goes to the next entry if it is closed. */
const callInTurn = async (entries, first, isOver) => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    let index = first;
    while (!isOver()) {
        const entry = entries[index % entries.length];
        const send = async (path, deadlineMilliseconds, headers) => {
            const common = { method: "POST", host, key: apiKey, body, agent };
            const answer = await call(entry.address, { ...common, path, deadlineMilliseconds, headers });
            const { requestId, status, reason } = answer;
            record.add("sent", { requestId, path, entry: entry.name }, answer.sentAt);
            record.add("answered", { requestId, status, reason }, answer.endedAt);
            return answer;
        };
        const summary = await send("/summary/2f", 8_022, { "X-Cyclamengap-Token-Usage": "714,160" });
        // The next request follows at once on the connection that the answer has left open.
        const booking = summary.status === 200 ? await send("/booking/2f", 3_009) : undefined;
        if (booking !== undefined && booking.status === 0) {
            lost.push({ ...booking, entry: entry.name });
        }
        answered += booking !== undefined && booking.status === 200 ? 1 : 0;
        if (summary.status !== 200 || booking?.status !== 200) {
            index += 1;
        }
        await sleep(pauseMilliseconds);
    }
    agent.destroy();
};

const stopAndStart = async ({ fleet, entries }) => {
    for (const entry of entries) {
        const stopped = fleet.processOf(entry.name);
        record.add("SIGTERM", { entry: entry.name });
        fleet.signal(entry.name, "SIGTERM");
        const killAt = performance.now() + graceMilliseconds;
        while (stopped.exit === undefined) {
            if (performance.now() > killAt) {
                fleet.signal(entry.name, "SIGKILL");
            }
            await sleep(20);
        }
        record.add("stopped", { entry: entry.name, ...stopped.exit });
        await sleep(restartMilliseconds);
        fleet.start("entry", entry.settings);
        while (!await ready(entry.ready)) {
            await sleep(50);
        }
        record.add("ready again", { entry: entry.name });
    }
};

const main = async () => {
    const deployment = await startDeployment({
        onRequest: arrival => {
            run.set(arrival.requestId, arrival);
            record.add("run", arrival, arrival.at);
        },
    });
    let isOver = false;
    const { entries } = deployment;
    try {
        const callers = [...Array(callersPerEntry * entries.length).keys()].map(index =>
            sleep(index * 29).then(() => callInTurn(entries, index, () => isOver))
        );
        await sleep(calmMilliseconds);
        if (hasTrouble) {
            await stopAndStart(deployment);
        }
        await sleep(calmMilliseconds);
        isOver = true;
        await Promise.all(callers);
        const ranUnanswered = lost.filter(({ requestId }) => run.has(requestId));
        ranUnanswered.forEach(({ requestId, entry, reason }) =>
            record.add("booking ran and has no answer", { requestId, entry, reason, server: run.get(requestId).server })
        );
        record.add("verdict", { bookingsAnswered: answered, ranUnanswered: ranUnanswered.length, lost: lost.length });
        process.stdout.write(`${ranUnanswered.length} bookings ran and have no answer, ${answered} were answered\n`);
        return answered < 100 ? 2 : ranUnanswered.length > 0 ? 1 : 0;
    }
    finally {
        isOver = true;
        deployment.end();
    }
};

main().catch(error => {
    process.stderr.write(`${error.stack}\n`);
    return 2;
}).then(status => {
    record.write();
    process.exit(status);
});
