import tseslint from "typescript-eslint";

// Layers in import order: a module imports only from its own layer and from those to its right.
const layers = ["programs", "transport", "protocol", "coordination", "state"];

// The programs are leftmost, so no layer is closed to them.
const layerRules = layers.slice(1).map((layer, position) => ({
    files: [`src/${layer}/**/*.ts`],
    rules: {
        "no-restricted-imports": ["error", {
            patterns: [{
                group: [
                    ...layers.slice(0, position + 1).map(left => `**/${left}/**`),
                    "**/standin/**",
                    "**/bench/**",
                ],
                message: `layer "${layer}" imports only rightwards: ${layers.join(" → ")}`,
            }],
        }],
    },
}));

export default tseslint.config(
    { ignores: ["dist/**", "node_modules/**"] },
    ...tseslint.configs.strict,
    {
        files: ["**/*.ts"],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "variableLike", format: ["camelCase", "PascalCase"], leadingUnderscore: "forbid" },
                { selector: "function", format: ["camelCase"], leadingUnderscore: "forbid" },
            ],
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/prefer-readonly": "error",
            "@typescript-eslint/no-invalid-void-type": "off",
            "curly": ["error", "all"],
            "prefer-arrow-callback": "error",
            "eqeqeq": "error",
            "max-lines": ["error", { max: 350, skipComments: true, skipBlankLines: true }],
        },
    },
    {
        files: ["src/**/*.ts"],
        rules: {
            "no-restricted-syntax": ["error", {
                selector: "ThrowStatement > NewExpression[callee.name!='InvariantError']",
                message:
                    "outcomes are values: return a neverthrow Result, or throw InvariantError for a broken invariant",
            }],
        },
    },
    {
        files: ["tests/**/*.ts"],
        rules: {
            "@typescript-eslint/no-unused-expressions": "off",
            "@typescript-eslint/no-non-null-assertion": "off",
        },
    },
    ...layerRules,
);
