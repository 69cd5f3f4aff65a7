import { expect } from "chai";
import { brokenSettingsRules, exploreSettings, settingsRules } from "../spec/settingsAcceptance.js";
import type { SettingsSpecSize } from "../spec/settingsAcceptance.js";

const sizes: SettingsSpecSize[] = [
    { paths: ["p", "p/c"], readers: 2, operators: 2, plans: 2, lostAnswers: 1, snapshots: 1, restarts: 1 },
];

describe("settings acceptance", () => {
    for (const size of sizes) {
        it(`holds its invariants in every state of ${JSON.stringify(size)}`, () => {
            const t = performance.now();
            const { states, broken } = exploreSettings(settingsRules, size);
            console.log(`      ${states} states`, performance.now() - t);
            expect(broken).to.deep.equal([]);
        });
    }
    for (const { name, rules } of brokenSettingsRules) {
        it(`catches a ${name}`, () => {
            const { states, broken } = exploreSettings(rules, sizes[0]!);
            console.log(`      ${states} states`, broken);
        });
    }
});
