/**
 * Runs the tests: the crowds of clients alone, then the simulations beside all others if the machine has the cores for it.
 *
 * Simulations pass in virtual time, so that no other program can make them late.
 */
import { spawn } from "node:child_process";
import { once } from "node:events";
import { existsSync, readFileSync } from "node:fs";
import { availableParallelism } from "node:os";
import { createInterface } from "node:readline";

const crowds = ["ingress/clientCrowds"];
const simulations = [
    "claimsSpec",
    "experts/mapSwitchFaults",
    "ingress/configurationFreshness",
    "ingress/costRouting",
    "ingress/crashingPromptPartFleet",
    "ingress/crashingRequestFleet",
    "ingress/limitedUpstreamFleet",
    "ingress/sharedPriority",
    "ingress/sharedRecords",
    "ingress/unaryPlacing",
];
/** One for the simulations, the rest for tests that start several processes. */
const coresForBoth = 4;

const fileOf = name => {
    const file = `dist/tests/${name}.test.js`;
    if (!existsSync(file)) {
        throw new Error(`no tests in ${file}`);
    }
    return file;
};

const { require, reporter, timeout } = JSON.parse(readFileSync(".mocharc.json", "utf8"));
const options = ["--reporter", reporter, "--timeout", String(timeout), ...require.flatMap(file => ["--require", file])];
const only = names => ["--no-config", ...options, ...names.map(fileOf)];
const allBut = names => names.flatMap(name => ["--ignore", fileOf(name)]);

const summaryPattern = /^(\d+) passed, (\d+) failed(?:, (\d+) skipped)?$/;

/** Resolves with the counts of a run. If `isHeld`, its output is printed once it has ended. */
const runMocha = async (parameters, { isHeld = false } = {}) => {
    const mocha = spawn("mocha", parameters, { stdio: ["ignore", "pipe", "inherit"] });
    const ended = once(mocha, "close");
    const heldLines = [];
    let counts = [];
    for await (const line of createInterface({ input: mocha.stdout })) {
        const summary = summaryPattern.exec(line);
        if (summary !== null) {
            counts = summary.slice(1).map(count => Number(count ?? 0));
        }
        else if (isHeld) {
            heldLines.push(line);
        }
        else {
            console.log(line);
        }
    }
    const [code] = await ended;
    heldLines.forEach(line => console.log(line));
    const [passed = 0, failed = 0, skipped = 0] = counts;
    return { passed, failed, skipped, hasPassed: code === 0 && passed > 0 };
};

const runSimulations = () => runMocha(only(simulations), { isHeld: true });
const runOthers = () => runMocha(allBut([...crowds, ...simulations]));

const results = [await runMocha(only(crowds))];
if (availableParallelism() >= coresForBoth) {
    results.push(...await Promise.all([runSimulations(), runOthers()]));
}
else {
    results.push(await runSimulations(), await runOthers());
}

const total = key => results.reduce((sum, result) => sum + result[key], 0);
const skipped = total("skipped");
console.log(`${total("passed")} passed, ${total("failed")} failed${skipped > 0 ? `, ${skipped} skipped` : ""}`);
process.exitCode = results.every(({ hasPassed }) => hasPassed) ? 0 : 1;
