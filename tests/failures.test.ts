import { expect } from "chai";
import { expectedToken } from "../src/standin/tokens.js";
import {
    type Deployment,
    getJson,
    postJson,
    readStateDump,
    requestCompletion,
    startDeployment,
} from "./support/deployment.js";
import { killAllPrograms } from "./support/processes.js";

/** Number of concurrent streams, and the length of each in tokens. */
type Load = { callers: number; tokens: number; };

const defaultLoad: Load = { callers: 12, tokens: 60 };
const expectedText = (prompt: string, tokens: number): string =>
    [...Array(tokens).keys()].map(index => expectedToken(prompt, index)).join("");

const engine = [
    ...["--step-milliseconds", "10", "--capacity", "32", "--cold-capacity", "3", "--warm-after-tokens", "100"],
    ...["--cold-grace-steps", "10"],
];
const settings = { capacity: 32, coldCapacity: 3, warmUpTokens: 200 };

type Answer = { prompt: string; text: string; isComplete: boolean; raw: string; };

/** Starts streams, evenly over the entries; `halfOpened` resolves when half of them have received a token. */
const startStreams = (
    deployment: Deployment,
    { callers, tokens }: Load,
): { halfOpened: Promise<void>; answers: Promise<Answer[]>; } => {
    const waiting = new Set([...Array(callers).keys()].map(call => `Summarise table ${call}`));
    let resolveHalfOpened: () => void;
    const halfOpened = new Promise<void>(resolve => {
        resolveHalfOpened = resolve;
    });
    const sendRequest = async (prompt: string, call: number): Promise<Answer> => {
        const entry = deployment.entries[call % deployment.entries.length]!;
        const answer = await requestCompletion(entry, prompt, tokens, () => {
            waiting.delete(prompt);
            if (waiting.size <= callers / 2) {
                resolveHalfOpened();
            }
        });
        return { prompt, ...answer };
    };
    return { halfOpened, answers: Promise.all([...waiting].map(sendRequest)) };
};

/** Runs `fault` while streams are open; all responses must be complete. */
const expectCompleteAnswersDuring = async (
    deployment: Deployment,
    fault: () => unknown,
    load = defaultLoad,
): Promise<void> => {
    const { halfOpened, answers } = startStreams(deployment, load);
    await Promise.race([halfOpened, answers]);
    await fault();
    for (const { prompt, text, isComplete, raw } of await answers) {
        expect(text, raw.slice(-300)).to.equal(expectedText(prompt, load.tokens));
        expect(isComplete).to.equal(true);
    }
};

/** Sum of a counter over the ranks of `group`, as the engine itself counts. */
const total = async (deployment: Deployment, group: string, counter: "admitted" | "crashes"): Promise<number> => {
    const [address] = deployment.engines.get(group)!.addresses;
    const { ranks } = await getJson<{ ranks: Record<string, number>[]; }>(`http://${address}/record?from=1000000`);
    return ranks.reduce((sum, rank) => sum + rank[counter]!, 0);
};

describe("failures under load, as separate processes", () => {
    let deployment: Deployment;

    before(async () => {
        deployment = await startDeployment({
            entries: [
                { host: "entry-1", availabilityZone: "medina" },
                { host: "entry-2", availabilityZone: "ifrane" },
            ],
            groups: [
                { group: "near", availabilityZone: "medina", ranks: 2, engineOptions: engine, settings },
                { group: "far", availabilityZone: "ifrane", ranks: 2, engineOptions: engine, settings },
            ],
        });
    });

    after(async () => {
        await deployment.stop();
        killAllPrograms();
    });

    const injectNearFault = (fault: Record<string, unknown>) =>
        postJson(`http://${deployment.engines.get("near")!.addresses[0]}/faults`, fault);

    const limitOf = async (host: string): Promise<number> =>
        (await readStateDump(deployment.agents.get(host)!))["load"]!["limit"];

    it("warms up the upstreams without a crash", async () => {
        while (await limitOf("near-0") < 6 || await limitOf("near-1") < 6) {
            await expectCompleteAnswersDuring(deployment, () => undefined);
        }
        expect(await total(deployment, "near", "crashes")).to.equal(0);
    });

    it("loses no response when warm ranks turn cold under load and crash", async () => {
        const load = { callers: 24, tokens: 150 };
        await expectCompleteAnswersDuring(deployment, () => injectNearFault({ turnCold: true }), load);
        expect(await total(deployment, "near", "crashes")).to.be.greaterThan(0);
    });

    it("resumes a single interrupted stream", () =>
        expectCompleteAnswersDuring(deployment, () => injectNearFault({ cutStreamAfterTokens: 30 })));

    it("resumes the streams of a suspended agent elsewhere, and discards what it sends after it continues", () =>
        expectCompleteAnswersDuring(deployment, async () => {
            const { program } = deployment.agents.get("near-0")!;
            program.sendSignal("SIGSTOP");
            const frozenAt = Date.now();
            await deployment.entries[0]!.program.waitForEvent(({ event, outcome, upstream, timestamp }) =>
                event === "attempt" && outcome === "cut" && upstream === "near-0"
                && Date.parse(String(timestamp)) > frozenAt
            );
            program.sendSignal("SIGCONT");
        }));

    it("sends no new requests to a zone taken out of service, and interrupts none that run there", async () => {
        await expectCompleteAnswersDuring(deployment, async () => {
            const offset = await deployment.changeSettings({ "availabilityZones/medina": { state: "out" } });
            await deployment.waitForSettings(offset);
        });
        const before = await total(deployment, "near", "admitted");
        await expectCompleteAnswersDuring(deployment, () => undefined);
        expect(await total(deployment, "near", "admitted")).to.equal(before);
        await deployment.waitForSettings(
            await deployment.changeSettings({ "availabilityZones/medina": { state: "in" } }),
        );
    });

    it("loses no response when an agent is killed and replaced while the host list names the old one", async () => {
        await postJson(`${deployment.platform.url}/faults`, { hosts: { lagMilliseconds: 2_000 } });
        await expectCompleteAnswersDuring(deployment, async () => {
            await deployment.agents.get("near-0")!.program.kill();
            await deployment.startAgent("near-0");
        });
        await expectCompleteAnswersDuring(deployment, () => undefined);
    });

    it("loses no response in a planned stop of an agent, which interrupts no stream", async () => {
        await expectCompleteAnswersDuring(deployment, async () => {
            const { program } = deployment.agents.get("far-0")!;
            program.sendSignal("SIGTERM");
            expect(await program.exited).to.equal(0);
        });
        await expectCompleteAnswersDuring(deployment, () => undefined);
    });

    it("resumes the streams of a killed engine elsewhere", () =>
        expectCompleteAnswersDuring(deployment, () => deployment.engines.get("near")!.program.kill()));
});
