/**
 * Starts the deployed programs with the commands of the deploy file and settings filled in from its templates, and ends
 * them by their process ids.
 */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

const repository = fileURLToPath(new URL("../..", import.meta.url));

/** The `run` command and the template of a role, from the deploy file. */
const readRole = role => {
    const section = readFileSync(join(repository, "deploy/system.toml"), "utf8").split(`[roles.${role}]`)[1] ?? "";
    const field = name => new RegExp(`^${name} = "(.*)"$`, "m").exec(section)?.[1] ?? "";
    return { command: field("run").split(" "), template: field("template") };
};

/** Fills in a template as the platform does: `{{a.b}}` is the value, `{{a.b|json}}` its JSON. */
export const fillTemplate = (template, settings) =>
    template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (match, path, json) => {
        const value = path.split(".").reduce((fields, name) => fields?.[name], settings);
        return json === undefined ? String(value ?? "") : JSON.stringify(value);
    });

/** The bounds of the small deployment of kuitu-reititin. */
export const bounds = { graceS: 8, retryBudget: 0.2, retrySlack: 92, budgetWindowS: 10, drainMs: 2_000 };

const isFree = (ip, port) =>
    new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, ip, () => server.close(() => resolve(true)));
    });

/** A network of loopback addresses, and as many free ports on all of them. */
export const chooseNetwork = async portCount => {
    const random = limit => Math.floor(Math.random() * limit);
    const prefix = `127.${1 + random(250)}.${1 + random(250)}`;
    const ports = [];
    while (ports.length < portCount) {
        const port = 20_000 + random(12_000);
        if (!ports.includes(port) && await isFree(`${prefix}.1`, port)) {
            ports.push(port);
        }
    }
    return { ip: number => `${prefix}.${number}`, ports };
};

export const createFleet = () => {
    const folder = mkdtempSync(join(tmpdir(), "review-"));
    const children = new Map();

    const start = (role, settings) => {
        const { command: [program, ...words], template } = readRole(role);
        const file = join(folder, `${settings.nodeName}.jsonc`);
        writeFileSync(file, fillTemplate(readFileSync(join(repository, template), "utf8"), settings));
        const child = spawn(program === "node" ? process.execPath : program, words, {
            cwd: repository,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, CYCLAMENGAP_BOOT: file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const started = { child, exit: undefined, log: [] };
        const keepLines = chunk => started.log.push(...chunk.toString().split("\n").filter(line => line !== ""));
        child.stdout.on("data", keepLines);
        child.stderr.on("data", keepLines);
        child.once("exit", (code, signal) => {
            started.exit = { code, signal, at: performance.now() };
        });
        children.set(settings.nodeName, started);
        return started;
    };

    return {
        start,
        signal: (nodeName, name) => children.get(nodeName)?.child.kill(name),
        processOf: nodeName => children.get(nodeName),
        /** Ends all processes that were started. */
        end: () => {
            for (const { child, exit } of children.values()) {
                if (exit === undefined) {
                    child.kill("SIGCONT");
                    child.kill("SIGKILL");
                }
            }
            rmSync(folder, { recursive: true, force: true });
        },
    };
};
