/**
 * Records of other writers in the platform's store: what names no server or is no configuration is left out, and the
 * others hold.
 */
import { expect } from "chai";
import { topics } from "../../platform/names.js";
import { decodeOperatorRecord, decodeUpstreamRecord } from "../../platform/storeRecords.js";
import { type SealedServer, startSealedServer } from "../../src/standin/sealedServer.js";
import {
    type PlatformDeployment,
    standardConfiguration,
    startPlatformDeployment,
} from "../support/platformDeployment.js";

const depth = 50_000;
const deeplyNested = "[".repeat(depth) + "]".repeat(depth);

const listed = {
    service: "catalogue",
    address: "127.0.0.1:8080",
    zone: "medina",
    slots: 8,
    state: "ready",
    seq: 1,
    coldLeftMs: 0,
    born: 1_700_000_000_000,
};
const group = { name: "g", epoch: 1, rank: 0, state: "open" };

/** The text of a record with one field replaced by a raw JSON text. */
const withField = (record: object, name: string, text: string): string =>
    `${JSON.stringify({ ...record, [name]: undefined }).slice(0, -1)},"${name}":${text}}`;

const oddUpstreams: Record<string, string> = {
    "bytes that are not JSON": "{\"service\": ",
    "a value that is nested very deeply": deeplyNested,
    "a field that is nested very deeply": withField(listed, "slots", deeplyNested),
    "a number beyond all bounds": withField(listed, "slots", "1e999"),
    "more slots than a server can have": withField(listed, "slots", "1e300"),
    "a rank beyond all groups": withField(listed, "group", JSON.stringify({ ...group, rank: 4_000_000_000 })),
    "a negative rank": withField(listed, "group", JSON.stringify({ ...group, rank: -1 })),
    "a start time that is no whole number": withField(listed, "born", "1e300"),
    "a warm-up without end": withField(listed, "coldLeftMs", "1e300"),
    "a port above the range": withField(listed, "address", "\"127.0.0.1:99999\""),
    "port 0": withField(listed, "address", "\"127.0.0.1:0\""),
    "an address that is no IPv4 address": withField(listed, "address", "\"999.0.0.1:8080\""),
    "an address of dots": withField(listed, "address", "\"...:8080\""),
    "a state that isn't known": withField(listed, "state", "\"asleep\""),
};

describe("records of other writers", () => {
    it("are read if they name a server", () => {
        expect(decodeUpstreamRecord({ key: "i", value: Buffer.from(JSON.stringify(listed)) }).kind).to.equal(
            "upstream",
        );
        const member = Buffer.from(JSON.stringify({ ...listed, group }));
        expect(decodeUpstreamRecord({ key: "i", value: member }).kind).to.equal("upstream");
        const withUnknownFields = Buffer.from(withField(listed, "later", deeplyNested));
        expect(decodeUpstreamRecord({ key: "i", value: withUnknownFields }).kind).to.equal("upstream");
    });

    for (const [what, text] of Object.entries(oddUpstreams)) {
        it(`name no server if they have ${what}`, () => {
            expect(decodeUpstreamRecord({ key: "i", value: Buffer.from(text) }).kind).to.equal("unreadable");
        });
    }

    // Without accounts, any of them that came into force would let an unknown key in.
    const valid = standardConfiguration(3, { tenants: undefined }) as { routes: object[]; limits: object; };
    const invalidConfigurations: Record<string, object> = {
        "a version that is no whole number": { ...valid, version: 2.5 },
        "a version beyond all others": { ...valid, version: 1e300 },
        "a negative version": { ...valid, version: -1 },
        "a prefix that doesn't end with a slash": { ...valid, routes: [{ ...valid.routes[0], pathPrefix: "/read" }] },
        "a negative timeout": { ...valid, routes: [{ ...valid.routes[0], timeoutMs: -1 }] },
        "a negative weight": {
            ...valid,
            routes: [{ ...valid.routes[0], split: [{ service: "catalogue", weight: -1 }] }],
        },
        "no limits": { ...valid, limits: undefined },
        "a list of accounts that is no list": { ...valid, tenants: {} },
        "an account without a list of keys": { ...valid, tenants: [{ name: "council" }] },
        "an account that is null": { ...valid, tenants: [null] },
        "null in place of the accounts": { ...valid, tenants: null },
    };

    for (const [what, configuration] of Object.entries(invalidConfigurations)) {
        it(`are no configuration with ${what}`, () => {
            const value = Buffer.from(JSON.stringify(configuration));
            expect(decodeOperatorRecord({ key: "config", value }).kind).to.equal("unreadable");
        });
    }

    describe("beside those of servers", () => {
        let deployment: PlatformDeployment;
        let servers: SealedServer[];

        const serve = async (id: string): Promise<SealedServer> => {
            const server = await startSealedServer(id);
            servers.push(server);
            deployment.listUpstream(server, "catalogue");
            return server;
        };

        beforeEach(async () => {
            servers = [];
            deployment = await startPlatformDeployment();
            await serve("i-sound");
        });

        afterEach(async () => {
            await deployment.stop();
            await Promise.all(servers.map(server => server.close()));
        });

        it("leave the servers in use and the list followed", async () => {
            Object.values(oddUpstreams).forEach((text, index) =>
                deployment.store.putBytes(topics.upstreams, `i-odd-${index}`, Buffer.from(text))
            );
            const second = await serve("i-second");
            await deployment.waitUntil(() =>
                deployment.logLines.some(line => line.event === "upstream listed" && line.id === "i-second")
            );
            for (let call = 0; call < 30; call += 1) {
                expect((await deployment.call("/book/1")).status).to.equal(200);
            }
            expect(second.receivedRequests).to.have.length.greaterThan(0);
        });

        it("leave the configuration in force", async () => {
            await deployment.waitUntil(() =>
                deployment.logLines.some(line => line.event === "configuration in force" && line.version === 1)
            );
            Object.values(invalidConfigurations).forEach(configuration =>
                deployment.store.put(topics.operator, "config", configuration)
            );
            deployment.configure(4);
            await deployment.waitUntil(() =>
                deployment.logLines.some(line => line.event === "configuration in force" && line.version === 4)
            );
            const versions = deployment.logLines.filter(({ event }) => event === "configuration in force")
                .map(({ version }) => version);
            expect(versions).to.deep.equal([1, 4]);
            expect((await deployment.call("/read/1", { apiKey: "unknown" })).status).to.equal(401);
        });
    });
});
