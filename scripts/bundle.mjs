/**
 * Bundles each program of the deployment into one ES module, so that a start reads one file instead of some 400.
 *
 * node scripts/bundle.mjs [--out <folder>]
 *
 * The folder is target/ by default. Types are checked by tsc beforehand; esbuild only strips them. A source map is
 * written beside each module for reading stack traces by hand; the modules don't refer to it, so Node.js never loads it.
 */
import { build } from "esbuild";
import { mkdir, readFile, writeFile } from "node:fs/promises";
import { isBuiltin } from "node:module";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";

const { values: { out } } = parseArgs({ options: { out: { type: "string", default: "target" } } });

/**
 * What the sources get for a package instead of its main file. A program of the deployment that imports something else of
 * it fails to build.
 */
const narrowedPackages = {
    // The main files of these two are UMD wrappers: they pass `require` to a factory function, where esbuild can't follow
    // the calls. Node.js gives importers the exports of such a module also as the default export.
    "jsonc-parser": `export * from "jsonc-parser/lib/esm/main.js";`,
    "ts-results": `import * as all from "ts-results/esm/index.js"; export default all;`,
    // The main file also loads the WebAssembly histogram, log files and the encodings, which need pako.
    "hdr-histogram-js": `
        export { build } from "hdr-histogram-js/dist/HistogramBuilder.js";`,
    "hdr-histogram-js/wasm": `export const webAssemblyAvailable = false;`,
    // The main file also loads transports, formats with colours and the container of loggers.
    "winston": `
        import createLogger from "winston/lib/winston/create-logger.js";
        import Console from "winston/lib/winston/transports/console.js";
        import combine from "logform/combine.js";
        import json from "logform/json.js";
        import timestamp from "logform/timestamp.js";
        export default { createLogger, format: { combine, json, timestamp }, transports: { Console } };`,
    // Without NODE_ENV=production, which a deployment can't set, the main file loads the diagnostics of developers.
    "@dabh/diagnostics": `module.exports = require("@dabh/diagnostics/node/production.js");`,
    // The programs speak HTTP/1.1 only; undici allows for a Node.js without HTTP/2, and hono's adapter compares classes.
    "http2": `export const constants = {}; export class Http2ServerRequest {}`,
    "node:http2": `export const constants = {}; export class Http2ServerRequest {}`,
    // The main file also loads fetch, web sockets, caches, proxies and mocks. It adds the API to the prototype too.
    "undici": `
        import api from "undici/lib/api/index.js";
        import Dispatcher from "undici/lib/dispatcher/dispatcher.js";
        Object.assign(Dispatcher.prototype, api);
        export { default as Agent } from "undici/lib/dispatcher/agent.js";
        export { default as Pool } from "undici/lib/dispatcher/pool.js";`,
};

const narrowPackages = {
    name: "narrow-packages",
    setup: ({ onResolve, onLoad }) => {
        onResolve({ filter: new RegExp(`^(${Object.keys(narrowedPackages).join("|")})$`) }, ({ path, resolveDir }) => ({
            path,
            namespace: "narrowed",
            pluginData: { resolveDir },
        }));
        // The histogram builder refers to it, but uses it only on request.
        onResolve(
            { filter: /^\.\/wasm$/ },
            ({ importer }) =>
                importer.endsWith("HistogramBuilder.js")
                    ? { path: "hdr-histogram-js/wasm", namespace: "narrowed", pluginData: {} }
                    : undefined,
        );
        onLoad({ filter: /./, namespace: "narrowed" }, ({ path, pluginData: { resolveDir } }) => ({
            contents: narrowedPackages[path],
            resolveDir,
        }));
    },
};

/**
 * Imports zod as a namespace, from which esbuild drops what isn't used: the locales, JSON schemas and compilation. The
 * object that zod exports as `z` is the same namespace, but esbuild keeps it whole.
 */
const importZodAsNamespace = {
    name: "import-zod-as-namespace",
    setup: ({ onLoad }) => {
        onLoad({ filter: /[\\/](src|platform)[\\/].*\.ts$/ }, async ({ path }) => ({
            contents: (await readFile(path, "utf8")).replace(`import { z } from "zod";`, `import * as z from "zod";`),
            loader: "ts",
        }));
    },
};

/** A call that esbuild left as it was, of `require` itself or of a renamed parameter such as `require2`. */
const relativeRequire = /\b_*require\d*\(\s*["'`]\.{0,2}\/[^"'`]*["'`]/gi;

const { outputFiles, metafile } = await build({
    absWorkingDir: fileURLToPath(new URL("..", import.meta.url)),
    entryPoints: { ingress: "src/programs/ingress.ts", rank: "src/programs/rank.ts" },
    outdir: out,
    outExtension: { ".js": ".mjs" },
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    // CommonJS packages load Node.js's own modules with `require`, which ES modules don't have.
    banner: {
        js: `import { createRequire as createBundleRequire } from "node:module";
const require = createBundleRequire(import.meta.url);`,
    },
    plugins: [narrowPackages, importZodAsNamespace],
    // Shorter text loads faster. Identifiers and function names stay, and lines are kept short, so that stack traces can
    // be read, and the line that Node.js prints for an uncaught error too.
    minifyWhitespace: true,
    minifyIdentifiers: false,
    lineLimit: 160,
    sourcemap: "external",
    sourcesContent: false,
    legalComments: "none",
    metafile: true,
    write: false,
    logLevel: "warning",
    logOverride: { "indirect-require": "error", "unsupported-require-call": "error" },
});

/** Whether Node.js supplies the module. undici tries to load modules that only later versions of Node.js have. */
const isSuppliedByNode = ({ path, kind }) => isBuiltin(path) || kind === "require-call" && path.startsWith("node:");

const problems = Object.entries(metafile.outputs).flatMap(([file, { imports }]) =>
    imports.filter(entry => !isSuppliedByNode(entry)).map(({ path }) => `${file}: imports "${path}" at run time`)
);
for (const { path, text } of outputFiles.filter(({ path }) => path.endsWith(".mjs"))) {
    problems.push(...(text.match(relativeRequire) ?? []).map(call => `${path}: unresolved ${call}`));
}
if (problems.length > 0) {
    process.stderr.write(`${problems.join("\n")}\n`);
    process.exit(1);
}

await mkdir(dirname(outputFiles[0].path), { recursive: true });
await Promise.all(outputFiles.map(({ path, contents }) => writeFile(path, contents)));
