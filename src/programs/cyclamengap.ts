#!/usr/bin/env node
/**
 * `cyclamengap`: the operators' program.
 *
 * Exit status: 0 when done, 1 when a change was rejected, 2 when the command line, a file or the environment is wrong,
 * 3 when the platform or a daemon could not be reached or an outcome could not be settled in time.
 */
import { defineCommand, runMain } from "citty";
import { experts } from "./commands/experts.js";
import { explain } from "./commands/explain.js";
import { dump, log } from "./commands/inspect.js";
import { quarantine } from "./commands/quarantine.js";
import { settings } from "./commands/settings.js";
import { zone } from "./commands/zone.js";

const main = defineCommand({
    meta: {
        name: "cyclamengap",
        description: "settings, availability zones, quarantine, the state of a deployment and the causes of failures",
    },
    subCommands: { settings, zone, quarantine, experts, dump, log, explain },
});

await runMain(main);
