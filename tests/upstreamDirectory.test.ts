import { expect } from "chai";
import { err, ok, type Result } from "neverthrow";
import { seededRandom } from "../src/bench/randomNumbers.js";
import { chooseUpstream } from "../src/coordination/chooseUpstream.js";
import { createUpstreamDirectory } from "../src/coordination/upstreamDirectory.js";
import { startUpstreamMonitor } from "../src/coordination/upstreamMonitor.js";
import type { HostRecord, LoadReport } from "../src/state/types.js";
import { virtualClock } from "./support/virtualClock.js";

const target = "groups/council";
const noHosts: ReadonlySet<string> = new Set();

const upstream = (rank: number, availabilityZone: string, state: HostRecord["state"] = "live"): HostRecord => ({
    host: `${availabilityZone}-${rank}`,
    availabilityZone,
    role: "upstream",
    state,
    address: `127.0.0.1:${9000 + rank}`,
    serves: { kind: "group", group: "council", rank },
});

const warm = (takenAt: number, overrides: Partial<LoadReport> = {}): LoadReport => ({
    state: "warm",
    incarnation: "first",
    running: 0,
    limit: 8,
    outstandingTokens: 0,
    tokensPerSecond: 400,
    takenAt,
    ...overrides,
});

const createDirectory = (hosts = [upstream(0, "medina"), upstream(1, "medina"), upstream(2, "ifrane")]) => {
    const clock = virtualClock(1_000);
    const random = seededRandom(7);
    const zonesOutOfService = new Set<string>();
    const directory = createUpstreamDirectory({
        clock,
        host: "entry-1",
        availabilityZone: "medina",
        isZoneOutOfService: zone => zonesOutOfService.has(zone),
    });
    directory.replaceHosts(1, hosts);
    hosts.forEach(({ host }) => directory.observeLoad(host, warm(clock.now())));
    const choose = (avoidedHosts = noHosts, prefix?: string) =>
        chooseUpstream(directory.upstreams(target), {
            avoidedHosts,
            ...(prefix === undefined ? {} : { prefix }),
        }, random)
            .map(view => view.record.host);
    const chooseMany = (): Set<string> => new Set(Array.from({ length: 50 }, () => choose().unwrapOr("nothing")));
    return { clock, directory, zonesOutOfService, choose, chooseMany };
};

describe("upstream directory and choice of an upstream", () => {
    it("stays in its own zone while that has free capacity, then uses other zones", () => {
        const { directory, chooseMany, choose } = createDirectory();
        expect(chooseMany()).to.deep.equal(new Set(["medina-0", "medina-1"]));
        for (let call = 0; call < 8; call += 1) {
            directory.beginRequest("medina-0", 100);
            directory.beginRequest("medina-1", 100);
        }
        expect(chooseMany()).to.deep.equal(new Set(["ifrane-2"]));
        for (let call = 0; call < 8; call += 1) {
            directory.beginRequest("ifrane-2", 100);
        }
        expect(choose()._unsafeUnwrapErr()).to.equal("full");
    });

    for (
        const [reason, apply] of Object.entries(
            {
                "the settings take its zone out of service": ({ zonesOutOfService }) => zonesOutOfService.add("medina"),
                "the host list marks it as leaving": ({ directory }) =>
                    directory.replaceHosts(2, [
                        upstream(0, "medina", "leaving"),
                        upstream(1, "medina", "leaving"),
                        upstream(2, "ifrane"),
                    ]),
                "the host list drops it": ({ directory }) => directory.replaceHosts(2, [upstream(2, "ifrane")]),
                "its agent drains": ({ directory }) =>
                    ["medina-0", "medina-1"].forEach(host =>
                        directory.observeLoad(host, warm(1_001, { state: "draining" }))
                    ),
                "its engine is down": ({ directory }) =>
                    ["medina-0", "medina-1"].forEach(host =>
                        directory.observeLoad(host, warm(1_001, { state: "down" }))
                    ),
                "a call to it failed": ({ directory }) => ["medina-0", "medina-1"].forEach(directory.observeFailure),
            } satisfies Record<string, (fixture: ReturnType<typeof createDirectory>) => unknown>,
        )
    ) {
        it(`sends an upstream no requests once ${reason}, although all other sources allow it`, () => {
            const fixture = createDirectory();
            apply(fixture);
            expect(fixture.chooseMany()).to.deep.equal(new Set(["ifrane-2"]));
        });
    }

    it("ignores a host list and a load report that are older than the last ones", () => {
        const { directory, chooseMany } = createDirectory();
        directory.replaceHosts(3, [upstream(0, "medina", "leaving"), upstream(1, "medina"), upstream(2, "ifrane")]);
        directory.replaceHosts(2, [upstream(0, "medina"), upstream(1, "medina"), upstream(2, "ifrane")]);
        directory.observeLoad("medina-1", warm(2_000, { state: "draining" }));
        directory.observeLoad("medina-1", warm(1_500));
        expect(chooseMany()).to.deep.equal(new Set(["ifrane-2"]));
    });

    it("avoids hosts on which the request failed, unless no other accepts work", () => {
        const { choose } = createDirectory([upstream(0, "medina"), upstream(1, "medina")]);
        expect(choose(new Set(["medina-0"]))._unsafeUnwrap()).to.equal("medina-1");
        expect(choose(new Set(["medina-0", "medina-1"])).isOk()).to.equal(true);
    });

    it("keeps a prefix on one upstream until that is loaded well above the mean", () => {
        const { directory, choose } = createDirectory();
        const preferred = choose(noHosts, "tender notices")._unsafeUnwrap();
        const choices = Array.from({ length: 20 }, () => choose(noHosts, "tender notices")._unsafeUnwrap());
        expect(new Set(choices)).to.deep.equal(new Set([preferred]));
        for (let call = 0; call < 5; call += 1) {
            directory.beginRequest(preferred, 300);
        }
        expect(choose(noHosts, "tender notices")._unsafeUnwrap()).not.to.equal(preferred);
    });

    it("prefers the faster of two upstreams that run equally many requests", () => {
        const { directory, clock, chooseMany } = createDirectory();
        const running = { running: 2, outstandingTokens: 400 };
        directory.observeLoad("medina-0", warm(clock.now(), { ...running, tokensPerSecond: 240 }));
        directory.observeLoad("medina-1", warm(clock.now(), running));
        expect(chooseMany()).to.deep.equal(new Set(["medina-1"]));
    });

    it("gives a report on other entries' requests less weight as it ages", () => {
        const { directory, clock } = createDirectory();
        directory.observeLoad("medina-0", warm(clock.now(), { running: 8, outstandingTokens: 800 }));
        const estimate = () => directory.upstreams(target)[0]!.outstandingTokens;
        expect(estimate()).to.equal(800);
        clock.advance(20_000);
        expect(estimate()).to.be.closeTo(800 / 3, 1);
    });

    it("monitors its own zone and a small subset of the others", () => {
        const others = [...Array(40).keys()].map(rank => upstream(rank, "ifrane"));
        const { directory } = createDirectory([...others, upstream(0, "medina"), upstream(1, "medina")]);
        expect(directory.monitored()).to.have.length(10);
    });
});

describe("upstream monitor", () => {
    const settle = () => new Promise(resolve => setImmediate(resolve));

    it("polls silent upstreams, probes suspected ones at once, and uses them again after they respond", async () => {
        const { clock, directory, chooseMany } = createDirectory();
        const stop = new AbortController();
        const probes: string[] = [];
        let frozen = true;
        const probe = async ({ host }: HostRecord): Promise<Result<LoadReport, string>> => {
            probes.push(host);
            return host === "medina-0" && frozen ? err("timeout") : ok(warm(clock.now()));
        };
        startUpstreamMonitor({ directory, probe, clock, random: seededRandom(1) }, stop.signal);
        const advance = async (milliseconds: number) => {
            for (let elapsed = 0; elapsed < milliseconds; elapsed += 50) {
                clock.advance(50);
                await settle();
            }
        };
        const { lostSignal: lost, end } = directory.beginRequest("medina-0", 100);
        await settle();
        expect(probes).to.deep.equal([]);

        await advance(1_000);
        expect(probes.sort()).to.deep.equal(["ifrane-2", "medina-0", "medina-1"]);
        expect(chooseMany()).to.deep.equal(new Set(["medina-1"]));
        expect(lost.aborted).to.equal(false);
        await advance(200);
        expect(lost.aborted).to.equal(true);
        end();

        frozen = false;
        await advance(800);
        expect(chooseMany()).to.deep.equal(new Set(["medina-0", "medina-1"]));
        stop.abort();
        await settle();
        const { length } = probes;
        await advance(5_000);
        expect(probes).to.have.length(length);
    });
});
