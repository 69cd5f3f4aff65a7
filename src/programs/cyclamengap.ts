#!/usr/bin/env node
/**
 * `cyclamengap`: the operator command line.
 *
 * Exit status: 0 on success; 1 if a change was rejected or an object does not exist; 2 if the command line, a file or
 * the environment is invalid; 3 if the platform or a daemon was unreachable or an outcome could not be determined in
 * time.
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
        description: "manage settings, availability zones and quarantine, and inspect a deployment and its failures",
    },
    subCommands: { settings, zone, quarantine, experts, dump, log, explain },
});

await runMain(main);
