/**
 * Explores larger instances of the map switch's specification than the tests do; each size is an argument of the form
 * ranks,steps,commits,rankRestarts,agentRestarts. Prints one line of JSON for each and exits with 1 on a violation.
 */
import { exploreMapSwitch, switchRules } from "../dist/spec/mapSwitch.js";

const names = ["ranks", "steps", "commits", "rankRestarts", "agentRestarts"];

for (const argument of process.argv.slice(2)) {
    const values = argument.split(",").map(Number);
    const size = Object.fromEntries(names.map((name, index) => [name, values[index]]));
    const startedAt = performance.now();
    const { states, violations, stuck } = exploreMapSwitch(switchRules, size);
    const seconds = Math.round((performance.now() - startedAt) / 100) / 10;
    process.stdout.write(`${JSON.stringify({ ...size, states, violations, stuck, seconds })}\n`);
    process.exitCode = violations + stuck > 0 ? 1 : process.exitCode;
}
