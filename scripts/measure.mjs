/**
 * Starts a deployment, runs one experiment of `cyclamengap-bench` on it and stops all processes.
 *
 * node scripts/measure.mjs <experiment> [--plan '{"zones":2,...}'] [options of the bench]
 *
 * The plan is JSON with the fields of `defaultPlan` in scripts/deployment.mjs.
 */
import { execFileSync, spawn } from "node:child_process";
import { startDeployment } from "./deployment.mjs";

const [experiment, ...rest] = process.argv.slice(2);
const planIndex = rest.indexOf("--plan");
const plan = planIndex < 0 ? {} : JSON.parse(rest.splice(planIndex, 2)[1]);
const commit = execFileSync("git", ["describe", "--always", "--dirty"], { encoding: "utf8" }).trim();

const deployment = await startDeployment(plan);
const bench = spawn(
    process.execPath,
    ["dist/src/programs/bench.js", experiment, "--deployment", deployment.file, "--commit", commit, ...rest],
    { stdio: "inherit" },
);
for (const name of ["SIGINT", "SIGTERM"]) {
    process.once(name, () => bench.kill(name));
}
process.exitCode = await new Promise(resolve => bench.once("exit", resolve));
await deployment.stop();
