/**
 * A request that crashes real upstream processes, resent through both entries.
 */
import { expect } from "chai";
import { expectedToken } from "../src/standin/tokens.js";
import { type Deployment, getJson, requestCompletion, startDeployment } from "./support/deployment.js";
import { killAllPrograms } from "./support/processes.js";

const expectedText = (prompt: string, tokens: number): string =>
    [...Array(tokens).keys()].map(index => expectedToken(prompt, index)).join("");

describe("quarantine, as separate processes", () => {
    let deployment: Deployment;

    before(async () => {
        deployment = await startDeployment({
            entries: [{ host: "entry-1", availabilityZone: "medina" }, { host: "entry-2", availabilityZone: "medina" }],
            groups: [{ group: "council", availabilityZone: "medina", ranks: 4 }],
        });
    });

    after(async () => {
        await deployment.stop();
        killAllPrograms();
    });

    it("costs at most two upstreams; other requests get complete answers", async () => {
        const [one, two] = [deployment.entries[0]!, deployment.entries[1]!];
        const prompts = ["Summarise the budget", "Explain the zoning data", "Draft a notice", "Check the recipe"];
        const bystanders = prompts.map((prompt, index) => requestCompletion(index % 2 === 0 ? one : two, prompt, 40));
        const poison = await requestCompletion(one, "crash-upstream now", 40);
        expect(poison.outcome).to.not.equal("complete");
        for (const entry of [two, one, two]) {
            const resend = await requestCompletion(entry, "crash-upstream now", 40);
            expect([resend.status, resend.outcome]).to.deep.equal([422, "not-run"]);
        }
        const answers = await Promise.all(bystanders);
        // An incomplete answer is shown in raw form, including its error.
        expect(answers.map(({ isComplete, text, raw }) => isComplete ? text : raw)).to.deep.equal(
            prompts.map(prompt => expectedText(prompt, 40)),
        );

        const engine = `http://${deployment.engines.get("council")!.addresses[0]!}`;
        const { ranks } = await getJson<{ ranks: { crashes: number; }[]; }>(`${engine}/record`);
        expect(ranks.reduce((sum, { crashes }) => sum + crashes, 0)).to.equal(2);
    }).timeout(30_000);
});
