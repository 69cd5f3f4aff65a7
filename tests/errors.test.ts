import { expect } from "chai";
import { refusal } from "../src/state/errors.js";

describe("errors", () => {
    it("names the object that failed", () => {
        expect(refusal("unknown-model", ["council-9b"]).message).to.equal(`model "council-9b" is not served here`);
    });

    it("includes the retry delay", () => {
        expect(refusal("queue-full", ["council-9b"], 2).retryAfterSeconds).to.equal(2);
    });
});
