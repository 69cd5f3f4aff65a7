/**
 * Measures how the control-plane cost of a daemon grows with the deployment, for docs/CAPACITY.md.
 *
 * node scripts/slopes.mjs [output.json] [seconds per measurement]
 *
 * The daemons serve no requests: they follow the settings and the host list, respond to peers and monitor upstreams.
 * The series vary the number of daemons, of client accounts, of settings changes, and of settings changes with 15,000
 * accounts. Processor time, resident memory and bytes read and written come from /proc. Slopes are least-squares fits
 * over the sizes of a series.
 */
import { execFileSync } from "node:child_process";
import { randomUUID } from "node:crypto";
import { readFile, writeFile } from "node:fs/promises";
import { availableParallelism } from "node:os";
import { setTimeout as pause } from "node:timers/promises";
import { startDeployment } from "./deployment.mjs";

const [output, readingSeconds = "15"] = process.argv.slice(2);
const settleMilliseconds = 8_000;
const tickMilliseconds = 10;

const readProcess = async pid => {
    const stat = await readFile(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const status = await readFile(`/proc/${pid}/status`, "utf8");
    const io = await readFile(`/proc/${pid}/io`, "utf8");
    const numberAfter = (text, name) => Number(new RegExp(`${name}:\\s+(\\d+)`).exec(text)[1]);
    return {
        processorMilliseconds: (Number(fields[11]) + Number(fields[12])) * tickMilliseconds,
        residentMegabytes: numberAfter(status, "VmRSS") / 1_024,
        bytes: numberAfter(io, "rchar") + numberAfter(io, "wchar"),
    };
};

const mean = numbers => numbers.reduce((sum, number) => sum + number, 0) / Math.max(1, numbers.length);

/** Mean resource usage per daemon while `work` runs. */
const measureDaemons = async (daemons, work) => {
    const startedAt = Date.now();
    const before = await Promise.all(daemons.map(({ pid }) => readProcess(pid)));
    await work();
    const seconds = (Date.now() - startedAt) / 1_000;
    const after = await Promise.all(daemons.map(({ pid }) => readProcess(pid)));
    const growth = field => mean(after.map((reading, index) => reading[field] - before[index][field]));
    return {
        processorPercent: growth("processorMilliseconds") / seconds / 10,
        processorMilliseconds: growth("processorMilliseconds"),
        residentMegabytes: mean(after.map(({ residentMegabytes }) => residentMegabytes)),
        kilobytesPerSecond: growth("bytes") / seconds / 1_000,
        bytes: growth("bytes"),
        seconds,
    };
};

const measureRoles = async ({ entries, agents }, work) => {
    let running;
    const startOnce = () => running ??= work();
    const [entry, agent] = await Promise.all([measureDaemons(entries, startOnce), measureDaemons(agents, startOnce)]);
    return { entry, agent };
};

/** Starts a deployment of `plan`, lets it settle, runs `measure` on it and stops it. */
const withDeployment = async (plan, measure) => {
    const deployment = await startDeployment(plan);
    try {
        await pause(settleMilliseconds);
        return await measure(deployment.description);
    }
    finally {
        await deployment.stop();
    }
};

const idle = () => pause(Number(readingSeconds) * 1_000);

/** Appends `count` settings changes of one account, evenly spread over the measurement. */
const changeAccounts = async (platform, count) => {
    const endsAt = Date.now() + Number(readingSeconds) * 1_000;
    let base = -1;
    for (let change = 0; change < count; change += 1) {
        const value = { requestsPerSecond: change + 1 };
        const edits = [{ path: "clientAccounts/slopes", base, value }];
        const body = { kind: "change", id: randomUUID(), author: "slopes", comment: "slopes", edits };
        const response = await fetch(`http://${platform}/log/settings/records`, {
            method: "POST",
            body: JSON.stringify(body),
        });
        base = (await response.json()).offset ?? base;
        await pause(Math.max(0, (endsAt - Date.now()) / (count - change)));
    }
    await pause(Math.max(0, endsAt - Date.now()));
};

/** Least-squares line through `points`. */
const fitLine = points => {
    const meanX = mean(points.map(({ x }) => x));
    const meanY = mean(points.map(({ y }) => y));
    const covariance = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
    const variance = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
    return { slope: covariance / variance, intercept: meanY - covariance / variance * meanX };
};

const measuredFields = [
    "processorPercent",
    "processorMilliseconds",
    "residentMegabytes",
    "kilobytesPerSecond",
    "bytes",
];

const slopesOf = rows =>
    Object.fromEntries(["entry", "agent"].map(role => [
        role,
        Object.fromEntries(measuredFields.map(field => [
            field,
            fitLine(rows.map(row => ({ x: row.size, y: row[role][field] }))),
        ])),
    ]));

const runSeries = async (name, sizes, measure) => {
    const rows = [];
    for (const size of sizes) {
        const row = { size, ...await measure(size) };
        rows.push(row);
        const formatUsage = ({ processorPercent, residentMegabytes, kilobytesPerSecond, processorMilliseconds }) =>
            `${processorPercent.toFixed(2)} % ${processorMilliseconds.toFixed(0)} ms ${
                residentMegabytes.toFixed(1)
            } MB `
            + `${kilobytesPerSecond.toFixed(2)} kB/s`;
        console.log(`${name} ${size}: entry ${formatUsage(row.entry)} | agent ${formatUsage(row.agent)}`);
    }
    return { rows, slopes: slopesOf(rows) };
};

const daemonPlans = { 3: [1, 2], 10: [2, 8], 40: [8, 32] };

const series = {
    daemons: await runSeries("daemons", [3, 10, 40], size => {
        const [entriesPerZone, ranks] = daemonPlans[size];
        const plan = { entriesPerZone, ranks, serviceAgentsPerZone: 0 };
        return withDeployment(plan, description => measureRoles(description, idle));
    }),
    clientAccounts: await runSeries("accounts", [10, 1_000, 15_000], clientAccounts => {
        const plan = { ranks: 2, serviceAgentsPerZone: 0, clientAccounts };
        return withDeployment(plan, description => measureRoles(description, idle));
    }),
    changes: await runSeries("changes", [1, 100, 1_000], count => {
        const plan = { ranks: 2, serviceAgentsPerZone: 0, clientAccounts: 10 };
        return withDeployment(
            plan,
            description => measureRoles(description, () => changeAccounts(description.platform, count)),
        );
    }),
    changesAtFullTree: await runSeries("changes beside 15,000 accounts", [1, 30, 100], count => {
        const plan = { ranks: 2, serviceAgentsPerZone: 0, clientAccounts: 15_000 };
        return withDeployment(
            plan,
            description => measureRoles(description, () => changeAccounts(description.platform, count)),
        );
    }),
};

const commit = execFileSync("git", ["describe", "--always", "--dirty"], { encoding: "utf8" }).trim();
const run = {
    commit,
    cores: availableParallelism(),
    node: process.version,
    readingSeconds: Number(readingSeconds),
    startedAt: new Date().toISOString(),
};
if (output !== undefined) {
    await writeFile(output, `${JSON.stringify({ run, series }, undefined, 4)}\n`);
}
for (const [name, { slopes }] of Object.entries(series)) {
    for (const [role, fits] of Object.entries(slopes)) {
        for (const [measure, { slope, intercept }] of Object.entries(fits)) {
            console.log(`${name} ${role} ${measure}: ${intercept.toPrecision(4)} + ${slope.toPrecision(4)} each`);
        }
    }
}
