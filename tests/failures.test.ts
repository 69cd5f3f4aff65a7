import { expect } from "chai";
import { expectedToken } from "../src/standin/tokens.js";
import { complete, type Deployment, getJson, postJson, startDeployment } from "./support/deployment.js";
import { killAllPrograms } from "./support/processes.js";

const tokens = 60;
const callers = 12;
const wholeText = (prompt: string): string =>
    [...Array(tokens).keys()].map(index => expectedToken(prompt, index)).join("");

const engine = ["--step-milliseconds", "10", "--capacity", "32", "--cold-capacity", "8", "--warm-after-tokens", "200"];
const settings = { capacity: 32, coldCapacity: 8, warmUpTokens: 400 };

/**
 * Starts `callers` streams and runs `fault` when each of them has got its first tokens; all must end whole.
 */
const expectWholeAnswersThrough = async (deployment: Deployment, fault: () => unknown): Promise<void> => {
    let opened = 0;
    const allOpen = new Promise<void>(resolve => {
        const prompts = [...Array(callers).keys()].map(call => `Summarise table ${call}`);
        answers = Promise.all(prompts.map(async (prompt, call) => {
            let isOpen = false;
            const answer = await complete(deployment.entries[call % deployment.entries.length]!, prompt, tokens, () => {
                opened += isOpen ? 0 : 1;
                isOpen = true;
                if (opened === callers) {
                    resolve();
                }
            });
            return { prompt, ...answer };
        }));
    });
    await allOpen;
    await fault();
    for (const { prompt, text, whole, raw } of await answers) {
        expect(text, raw.slice(-300)).to.equal(wholeText(prompt));
        expect(whole).to.equal(true);
    }
};
let answers: Promise<{ prompt: string; text: string; whole: boolean; raw: string; }[]>;

const admitted = async (deployment: Deployment, group: string): Promise<number> => {
    const [address] = deployment.engines.get(group)!.addresses;
    const { ranks } = await getJson<{ ranks: { admitted: number; }[]; }>(`http://${address}/record?from=1000000`);
    return ranks.reduce((sum, rank) => sum + rank.admitted, 0);
};

describe("failures under load, as separate processes", () => {
    let deployment: Deployment;

    beforeEach(async () => {
        deployment = await startDeployment({
            entries: [
                { host: "entry-1", availabilityZone: "medina" },
                { host: "entry-2", availabilityZone: "ifrane" },
            ],
            groups: [
                { group: "near", availabilityZone: "medina", ranks: 2, engine, settings },
                { group: "far", availabilityZone: "ifrane", ranks: 2, engine, settings },
            ],
        });
    });

    afterEach(async () => {
        await deployment.stop();
        killAllPrograms();
    });

    it("resumes the streams of a killed agent elsewhere", () =>
        expectWholeAnswersThrough(deployment, () => deployment.agents.get("near-0")!.program.kill()));

    it("resumes the streams of a frozen agent elsewhere, and drops what it sends when it wakes", () =>
        expectWholeAnswersThrough(deployment, async () => {
            const { program } = deployment.agents.get("near-0")!;
            program.signal("SIGSTOP");
            await deployment.entries[0]!.program.event(({ event, outcome, upstream }) =>
                event === "attempt" && outcome === "cut" && upstream === "near-0"
            );
            program.signal("SIGCONT");
        }));

    it("resumes the streams of a killed engine elsewhere", () =>
        expectWholeAnswersThrough(deployment, () => deployment.engines.get("near")!.program.kill()));

    it("loses no answer to a planned stop of an agent, while the host list still names it", async () => {
        await postJson(`${deployment.platform.url}/faults`, { hosts: { lagMilliseconds: 60_000 } });
        await expectWholeAnswersThrough(deployment, async () => {
            const { program } = deployment.agents.get("near-0")!;
            program.signal("SIGTERM");
            expect(await program.exited).to.equal(0);
        });
        await expectWholeAnswersThrough(deployment, () => undefined);
    });

    it("gives a zone that operators take out no new work, and cuts no request there", async () => {
        await expectWholeAnswersThrough(deployment, async () => {
            const offset = await deployment.change({ "availabilityZones/medina": { state: "out" } });
            await deployment.settled(offset);
        });
        const before = await admitted(deployment, "near");
        await expectWholeAnswersThrough(deployment, () => undefined);
        expect(await admitted(deployment, "near")).to.equal(before);
    });
});
