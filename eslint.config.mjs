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

/** Only programs join the project to a platform; no other module may depend on one. */
const platformImport = { group: ["**/platform/**"], message: "only programs may import from platform/" };
for (const { rules } of layerRules) {
    rules["no-restricted-imports"][1].patterns.push(platformImport);
}

/** The platform's header fields, paths and topics. */
const platformName = "/^x-cyclamengap-|^\\u002Fcyclamengap\\u002F|^keyed\\./i";

const valuesNotThrown = {
    selector: "ThrowStatement > NewExpression[callee.name!='InvariantError']",
    message: "outcomes are values: return a neverthrow Result, or throw InvariantError for a broken invariant",
};

export default tseslint.config(
    { ignores: ["dist/**", "target/**", "journal/**", "node_modules/**"] },
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
            "no-restricted-syntax": ["error", valuesNotThrown, {
                selector: `Literal[value=${platformName}]`,
                message: "names of the platform belong to platform/",
            }],
        },
    },
    {
        files: ["platform/**/*.ts"],
        rules: { "no-restricted-syntax": ["error", valuesNotThrown] },
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
