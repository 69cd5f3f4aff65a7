/**
 * Explores the model of the claims protocol exhaustively, and checks the real fold against the rule of the model.
 */
import { expect } from "chai";
import fc from "fast-check";
import type { SpecEntry } from "../spec/claims.js";
import { brokenClaimsRules, claimsRules, exploreClaims, foldSpecEntries } from "../spec/claims.js";
import type { ClaimEntry } from "../src/state/claimStateMachine.js";
import { applyClaimRecord, emptyClaimState } from "../src/state/claimStateMachine.js";
import { testStartTime, testWindow } from "./support/claimFleet.js";
import { keyAt } from "./support/idempotencyKeys.js";

const key = keyAt(testStartTime);

const small = { concurrent: 2, resends: 0, agents: 2, duplicates: 0, crashes: 0 };

describe("claims specification", () => {
    const sizes = [
        { concurrent: 2, resends: 0, agents: 2, duplicates: 1, crashes: 1 },
        { concurrent: 2, resends: 1, agents: 2, duplicates: 0, crashes: 0 },
    ];
    sizes.forEach(size =>
        it(`holds in every state of ${JSON.stringify(size)}`, () => {
            const { states, violations } = exploreClaims(claimsRules, size);
            console.log(`      ${states} states`);
            expect(Object.values(violations).filter(state => state !== undefined)).to.deep.equal([]);
            expect(states).to.be.above(10_000);
        }).timeout(60_000)
    );

    Object.entries(brokenClaimsRules).forEach(([variant, { breaks, rules }]) =>
        it(`detects ${variant}`, () => {
            const { violations } = exploreClaims(rules, small);
            expect(violations[breaks]).to.not.equal(undefined);
        })
    );

    const entries = fc.array(
        fc.record<SpecEntry>({
            kind: fc.constantFrom("claim", "claim", "release", "result"),
            attempt: fc.integer({ min: 0, max: 2 }),
        }),
        { maxLength: 12 },
    );

    const toRealEntry: Record<SpecEntry["kind"], (attempt: string) => ClaimEntry> = {
        claim: attempt => ({ kind: "claim", key, attempt, digest: "digest" }),
        release: attempt => ({ kind: "release", key, attempt }),
        result: attempt => ({
            kind: "result",
            key,
            attempt,
            result: { kind: "answered", answer: { status: 200, body: `from ${attempt}` } },
        }),
    };

    it("agrees with the real fold on the holder and the result after every prefix", () => {
        fc.assert(
            fc.property(entries, log => {
                const fold = emptyClaimState();
                log.forEach(({ kind, attempt }, offset) => {
                    const body = { agent: `agent ${attempt % 2}`, entries: [toRealEntry[kind](`${attempt}`)] };
                    applyClaimRecord(fold, { offset, appendedAt: testStartTime, body }, testWindow);
                    const { holder, hasResult } = foldSpecEntries(log.slice(0, offset + 1));
                    const state = fold.keys.get(key);
                    expect(state?.holder?.attempt).to.equal(holder === undefined ? undefined : `${holder}`);
                    expect(state?.result !== undefined).to.equal(hasResult);
                    if (state?.result?.kind === "answered") {
                        expect(state.result.answer.body).to.equal(`from ${holder}`);
                    }
                });
            }),
            { seed: 20_300_102, numRuns: 2_000 },
        );
    });
});
