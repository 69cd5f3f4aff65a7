/**
 * Random mixes of faults of the store and of entries, while the operator and the servers go on writing: an entry that
 * nothing has happened to for a while knows each change in time, and no entry ever goes back.
 *
 * `CYCLAMENGAP_SEEDS` gives the number of seeds; the bounds are those of the shortest deployments.
 */
import { expect } from "chai";
import type { FeedRecord } from "../../src/coordination/ingress/deploymentFeed.js";
import { deploymentTopics } from "../../src/coordination/ingress/recordSource.js";
import { emptyConfiguration } from "../support/configurations.js";
import { seededRandom } from "../support/random.js";
import { type RecordFleet, startRecordFleet } from "../support/recordFleet.js";
import { listedUpstream } from "../support/upstreams.js";

const entries = 9;
const zones = 3;
const upstreams = 6;
const lengthMilliseconds = 40_000;
const stepMilliseconds = 50;
const seeds = Number(process.env.CYCLAMENGAP_SEEDS ?? 12);

const applyMilliseconds = 2_000;
const drainMilliseconds = 2_000;
const evacuateMilliseconds = 5_000;
/** How long nothing may have happened to the store and to an entry before the bounds hold for it. */
const calmMilliseconds = 3_000;

type Change = { at: number; version: number; evacuated: boolean; draining: ReadonlySet<string>; };

type FaultContext = {
    fleet: RecordFleet;
    random: () => number;
    /** Marks entries, or the store if undefined, as disturbed from now for a time. */
    disturb: (disturbed: number[] | undefined, milliseconds: number) => void;
    after: (milliseconds: number, action: () => void) => void;
};

const configuration = (version: number): FeedRecord => ({
    kind: "configuration",
    configuration: emptyConfiguration(version),
});

const between = (random: () => number, low: number, high: number): number => low + random() * (high - low);

const randomEntries = ({ random }: FaultContext): number[] => {
    const all = [...Array(entries).keys()];
    const zone = Math.floor(random() * zones);
    return random() < 0.5 ? all.filter(entry => entry % zones === zone) : all.filter(() => random() < 0.35);
};

const turnAway = (context: FaultContext, fault: "refuses" | "silent"): void => {
    const { fleet, random, disturb, after } = context;
    const turnedAway = randomEntries(context);
    const milliseconds = between(random, 500, 9_000);
    turnedAway.forEach(entry => fleet.setStoreFault(entry, fault));
    disturb(turnedAway, milliseconds);
    after(milliseconds, () => turnedAway.forEach(entry => fleet.setStoreFault(entry, undefined)));
};

const faults: Record<string, (context: FaultContext) => void> = {
    "the store refuses some entries": context => turnAway(context, "refuses"),
    "the store is silent for some entries": context => turnAway(context, "silent"),
    "a partition is silent": ({ fleet, random, disturb, after }) => {
        const topic = deploymentTopics[Math.floor(random() * deploymentTopics.length)] ?? "operator";
        const milliseconds = between(random, 100, 5_000);
        fleet.silenceTopic(topic, true);
        disturb(undefined, milliseconds);
        after(milliseconds, () => fleet.silenceTopic(topic, false));
    },
    "the history is deleted": ({ fleet }) => deploymentTopics.forEach(fleet.dropHistory),
    "open connections fall silent": context => {
        const hung = context.random() < 0.3 ? [...Array(entries).keys()] : randomEntries(context);
        hung.forEach(context.fleet.hangPolls);
        context.disturb(hung, 0);
    },
    "an entry is cut off from the others": ({ fleet, random, disturb, after }) => {
        const entry = Math.floor(random() * entries);
        const milliseconds = between(random, 500, 6_000);
        fleet.isolate(entry, true);
        disturb([entry], milliseconds);
        after(milliseconds, () => fleet.isolate(entry, false));
    },
    "some entries restart": context => {
        const { fleet, random, disturb, after } = context;
        const milliseconds = between(random, 100, 3_000);
        const killed = randomEntries(context).filter(entry => fleet.stateOf(entry) !== undefined);
        killed.forEach(fleet.kill);
        disturb(killed, milliseconds);
        after(milliseconds, () => killed.forEach(fleet.start));
    },
};

const playSeed = async (seed: number): Promise<void> => {
    const random = seededRandom(seed);
    const fleet = startRecordFleet({ entries, zones });
    const { clock } = fleet;
    const changes: Change[] = [];
    const pending: { at: number; action: () => void; }[] = [];
    const disturbedUntil = Array<number>(entries).fill(0);
    let storeDisturbedUntil = 0;
    const happened: string[] = [];

    const write = (): void => {
        const last = changes.at(-1) ?? { version: 0, evacuated: false, draining: new Set<string>() };
        const draining = new Set(last.draining);
        const kind = random();
        let { version, evacuated } = last;
        if (kind < 0.5) {
            version += 1 + Math.floor(random() * 3);
            fleet.write("operator", "config", configuration(version));
        }
        else if (kind < 0.6) {
            fleet.write("operator", "config", { kind: "unreadable", key: "config", reason: "invalid" });
            fleet.write("operator", "config", configuration(version));
        }
        else if (kind < 0.75) {
            evacuated = !evacuated;
            const record: FeedRecord = { kind: "zone-evacuated", availabilityZone: "zone-1" };
            fleet.write("operator", "evacuate/zone-1", evacuated ? record : undefined);
        }
        else {
            const id = `u${Math.floor(random() * upstreams)}`;
            draining.add(id);
            fleet.write("upstreams", id, {
                kind: "upstream",
                upstream: listedUpstream({ id, isDraining: true, revision: 1 }),
            });
        }
        changes.push({ at: clock.now(), version, evacuated, draining });
    };

    const context: FaultContext = {
        fleet,
        random,
        disturb: (disturbed, milliseconds) => {
            const until = clock.now() + milliseconds;
            if (disturbed === undefined) {
                storeDisturbedUntil = Math.max(storeDisturbedUntil, until);
            }
            disturbed?.forEach(entry => disturbedUntil[entry] = Math.max(disturbedUntil[entry] ?? 0, until));
        },
        after: (milliseconds, action) => void pending.push({ at: clock.now() + milliseconds, action }),
    };

    /** The state that every entry in touch must have reached: the last change made before `milliseconds` ago. */
    const changeBefore = (milliseconds: number): Change | undefined =>
        changes.findLast(({ at }) => at < clock.now() - milliseconds);

    const describeFailure = (entry: number): string =>
        `seed ${seed}, entry ${entry}, ${clock.now()} ms: ${happened.join("; ")}`;

    const checkEntry = (entry: number, versionsSeen: Map<object, number>): void => {
        const state = fleet.stateOf(entry);
        if (state === undefined) {
            return;
        }
        const version = state.routeTable()?.configuration.version ?? 0;
        expect(version, `went back, ${describeFailure(entry)}`).to.be.at.least(versionsSeen.get(state) ?? 0);
        versionsSeen.set(state, version);
        if (clock.now() - Math.max(storeDisturbedUntil, disturbedUntil[entry] ?? 0) < calmMilliseconds) {
            return;
        }
        const due = changeBefore(applyMilliseconds)?.version ?? 0;
        expect(version, `late configuration, ${describeFailure(entry)}`).to.be.at.least(due);
        const usable = new Set(state.usable("model").map(({ id }) => id));
        const drained = [...changeBefore(drainMilliseconds)?.draining ?? []];
        expect(drained.filter(id => usable.has(id)), `drained, ${describeFailure(entry)}`).to.deep.equal([]);
        const before = changes.findLastIndex(({ at }) => at < clock.now() - evacuateMilliseconds);
        if (changes.slice(Math.max(0, before)).every(({ evacuated }) => evacuated) && before >= 0) {
            expect(state.evacuatedZones(), `evacuation, ${describeFailure(entry)}`).to.include("zone-1");
        }
    };

    const versionsSeen = new Map<object, number>();
    [...Array(upstreams).keys()].forEach(index =>
        fleet.write("upstreams", `u${index}`, { kind: "upstream", upstream: listedUpstream({ id: `u${index}` }) })
    );
    write();
    let nextWriteAt = 0;
    let nextFaultAt = 4_000;
    const kinds = Object.keys(faults);
    while (clock.now() < lengthMilliseconds) {
        pending.filter(({ at }) => at <= clock.now()).forEach(due => {
            pending.splice(pending.indexOf(due), 1);
            due.action();
        });
        const isStoreWriting = clock.now() >= storeDisturbedUntil;
        if (clock.now() >= nextWriteAt && isStoreWriting) {
            write();
            nextWriteAt = clock.now() + between(random, 50, 2_500);
        }
        if (clock.now() >= nextFaultAt) {
            const kind = kinds[Math.floor(random() * kinds.length)] ?? "";
            happened.push(`${Math.round(clock.now())} ${kind}`);
            faults[kind]?.(context);
            nextFaultAt = clock.now() + between(random, 200, 6_000);
        }
        await clock.advance(stepMilliseconds);
        [...Array(entries).keys()].forEach(entry => checkEntry(entry, versionsSeen));
    }
    fleet.stop();
};

describe("freshness of the configuration under random faults", () => {
    for (const seed of Array(seeds).keys()) {
        it(`keeps its bounds with seed ${seed + 1}`, () => playSeed(seed + 1));
    }
}).timeout(60_000);
