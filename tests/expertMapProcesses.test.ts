/**
 * Expert maps with every agent as a separate process. Guards against steps on two maps, by the engine's own record of
 * steps, after an agent is killed and a rank crashes during a log outage.
 */
import { expect } from "chai";
import type { StepRecord } from "../src/standin/modelEngine.js";
import { type Deployment, getJson, postJson, startDeployment } from "./support/deployment.js";
import { stepsWithMixedMaps } from "./support/mapFleet.js";
import { killAllPrograms, startProgram } from "./support/processes.js";

type GroupDump = { step: number; formation: number; steps: StepRecord[]; };

describe("expert maps, as separate processes", () => {
    let deployment: Deployment;

    const record = (): Promise<GroupDump> =>
        getJson(`http://${deployment.engines.get("council")!.addresses[0]}/record`);

    /** Reads the step record until `holds` returns true. The time-out of the test bounds the wait. */
    const until = async (holds: (dump: GroupDump) => boolean): Promise<GroupDump> => {
        for (;;) {
            const dump = await record();
            if (holds(dump)) {
                return dump;
            }
            await new Promise(resolve => setImmediate(resolve));
        }
    };

    const lastMap = ({ steps }: GroupDump): number => steps.at(-1)?.map ?? -1;

    before(async () => {
        deployment = await startDeployment({
            entries: [{ host: "entry-0", availabilityZone: "fes-medina" }],
            groups: [{
                group: "council",
                availabilityZone: "fes-medina",
                ranks: 3,
                engineOptions: ["--expert-maps", "--layers", "2", "--experts", "12", "--starts-warm", "--checks-fence"],
                settings: { layers: 2, expertsPerLayer: 12, slotsPerRank: 5, expertMaps: true },
            }],
        });
    });

    after(async () => {
        await deployment.stop();
        killAllPrograms();
    });

    it("commits a map that balances the ranks and runs every step on one map", async () => {
        const dump = await until(seen => lastMap(seen) >= 0);
        expect(stepsWithMixedMaps(dump.steps)).to.deep.equal([]);
    });

    it("shows operators the current map and the plan", async () => {
        const { url } = deployment.platform;
        const program = startProgram("cyclamengap", ["experts", "plan", "--group", "council", "--platform", url]);
        expect(await program.exited).to.equal(0);
        expect(program.output()).to.match(/present map: commit \d+, predicted skew 1\.0/);
        expect(program.output()).to.match(/planned: keep/);
    });

    it("continues after an agent is killed and a rank crashes during a log outage", async () => {
        const committed = lastMap(await record());
        await postJson(`${deployment.platform.url}/faults`, { log: { outage: true } });
        await deployment.agents.get("council-1")!.program.kill();
        const rankAddress = deployment.engines.get("council")!.addresses[2]!;
        const { formation } = await record();
        await postJson(`http://${rankAddress}/faults`, { rank: 2, crash: true });
        await until(seen => seen.formation > formation);
        await deployment.startAgent("council-1");
        const dump = await until(seen => seen.steps.at(-1)?.formation !== formation && seen.steps.length > 0);
        expect(lastMap(dump)).to.be.least(committed);
        expect(stepsWithMixedMaps(dump.steps)).to.deep.equal([]);
    });
}).timeout(30_000);
