/**
 * Explores larger instances of the map switch specification than the tests do. Each argument is one instance size of
 * the form ranks,steps,commits,rankRestarts,agentRestarts. Prints one line of JSON for each instance, and exits with
 * status 1 if any of them has a violation or a stuck state.
 */
import { exploreMapSwitch, switchRules } from "../dist/spec/mapSwitch.js";

const sizeFields = ["ranks", "steps", "commits", "rankRestarts", "agentRestarts"];

for (const argument of process.argv.slice(2)) {
    const values = argument.split(",").map(Number);
    const size = Object.fromEntries(sizeFields.map((name, index) => [name, values[index]]));
    const startedAt = performance.now();
    const { states, violations, deadlocked: stuck } = exploreMapSwitch(switchRules, size);
    const seconds = Math.round((performance.now() - startedAt) / 100) / 10;
    process.stdout.write(`${JSON.stringify({ ...size, states, violations, stuck, seconds })}\n`);
    process.exitCode = violations + stuck > 0 ? 1 : process.exitCode;
}
