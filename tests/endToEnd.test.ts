import { expect } from "chai";
import { v7 as uuid } from "uuid";
import { expectedToken } from "../src/standin/tokens.js";
import { apiKey, type Deployment, getJson, requestCompletion, startDeployment } from "./support/deployment.js";
import { killAllPrograms } from "./support/processes.js";

const expectedText = (prompt: string, tokens: number): string =>
    Array.from({ length: tokens }, (unused, index) => expectedToken(prompt, index)).join("");

describe("end to end, as separate processes", () => {
    let deployment: Deployment;

    before(async () => {
        deployment = await startDeployment({
            entries: [{ host: "entry-1", availabilityZone: "medina" }],
            groups: [{ group: "council", availabilityZone: "medina", ranks: 2 }],
            services: [{ service: "dispatch", availabilityZone: "medina", agents: 1 }],
        });
    });

    after(async () => {
        await deployment.stop();
        killAllPrograms();
    });

    it("streams a complete response from engine to caller", async () => {
        const answer = await requestCompletion(deployment.entries[0]!, "Summarise the budget", 20);
        expect(answer.status).to.equal(200);
        expect(answer.text).to.equal(expectedText("Summarise the budget", 20));
        expect(answer.isComplete).to.equal(true);
        expect(answer.raw).to.contain(`{"outcome":"complete"}`);
    });

    it("executes a dispatch once and returns its receipt", async () => {
        const response = await fetch(`http://${deployment.entries[0]!.address}/services/dispatch/pallets`, {
            method: "POST",
            headers: { "authorization": `Bearer ${apiKey}`, "idempotency-key": uuid() },
            body: `{"pallets":2}`,
        });
        expect(response.status).to.equal(200);
        expect(response.headers.get("cyclamengap-outcome")).to.equal("complete");
        const runs = await getJson<unknown[]>(`http://${deployment.services.get("dispatch")!.address}/_runs`);
        expect(runs).to.have.length(1);
    });

    it("refuses a caller without a key before anything reaches an upstream", async () => {
        const response = await fetch(`http://${deployment.entries[0]!.address}/services/dispatch/pallets`, {
            method: "POST",
        });
        expect(response.status).to.equal(401);
        expect(response.headers.get("cyclamengap-outcome")).to.equal("not-run");
        expect(await response.json()).to.have.nested.property("error.code", "unauthenticated");
    });
});
