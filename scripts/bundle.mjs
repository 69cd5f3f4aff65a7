/**
 * Bundles each program of the deployment into one ES module, so that a start reads one file instead of some 400.
 *
 * node scripts/bundle.mjs [--out <folder>]
 *
 * The folder is target/ by default. Types are checked by tsc beforehand; esbuild only strips them. A source map is
 * written beside each module for reading stack traces by hand; the modules don't refer to it, so Node.js never loads it.
 */
import { build } from "esbuild";
import { mkdir, writeFile } from "node:fs/promises";
import { isBuiltin } from "node:module";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";

const { values: { out } } = parseArgs({ options: { out: { type: "string", default: "target" } } });

/**
 * Packages whose main file is a UMD wrapper: it passes `require` to a factory function, where esbuild can't follow the
 * calls. Their ES modules are bundled instead.
 */
const umdPackages = { "jsonc-parser": "lib/esm/main.js", "ts-results": "esm/index.js" };

/**
 * Replaces each UMD package by its ES module. Node.js gives importers the exports of a CommonJS module also as the
 * default export, which the sources use for ts-results.
 */
const resolveUmdPackages = {
    name: "resolve-umd-packages",
    setup: ({ onResolve, onLoad }) => {
        onResolve({ filter: new RegExp(`^(${Object.keys(umdPackages).join("|")})$`) }, ({ path, resolveDir }) => ({
            path,
            namespace: "umd",
            pluginData: { resolveDir },
        }));
        onLoad({ filter: /./, namespace: "umd" }, ({ path, pluginData: { resolveDir } }) => {
            const file = JSON.stringify(`${path}/${umdPackages[path]}`);
            return {
                contents: `import * as all from ${file}; export * from ${file}; export default all;`,
                resolveDir,
            };
        });
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
    plugins: [resolveUmdPackages],
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
