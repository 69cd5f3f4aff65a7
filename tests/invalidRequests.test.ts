import { expect } from "chai";
import { err } from "neverthrow";
import { connect } from "node:net";
import { v7 as uuid } from "uuid";
import { createSettingsReader } from "../src/protocol/settingsReader.js";
import { refusal } from "../src/state/errors.js";
import { emptySettings } from "../src/state/settingsTree.js";
import type { SettingsTreeNode } from "../src/state/types.js";
import { createCallerApplication } from "../src/transport/callerServer.js";
import { listen, type Listener } from "../src/transport/httpServer.js";
import { apiKeyDigest } from "../src/transport/tokens.js";

const apiKey = "portal-key";

const settingsState = {
    offset: 0,
    nodes: new Map<string, SettingsTreeNode>(Object.entries({
        "clientAccounts/portal": { offset: 0, value: { apiKeyDigests: [apiKeyDigest(apiKey)], models: ["council"] } },
        "clientAccounts/other": { offset: 0, value: { apiKeyDigests: [apiKeyDigest("other-key")] } },
        "clientAccounts/broken": { offset: 0, value: { apiKeyDigests: [apiKeyDigest("broken")], priority: "urgent" } },
        "groups/council": { offset: 0, value: { model: "council", ranks: 1, layers: 1 } },
        "groups/secret": { offset: 0, value: { model: "secret", ranks: 1, layers: 1 } },
        "services/dispatch": { offset: 0, value: {} },
    })),
};

describe("invalid requests of callers", () => {
    let listener: Listener;
    let upstreamCalls = 0;
    let lastUpstreamCall: { path?: string; digest: string; };

    beforeEach(async () => {
        upstreamCalls = 0;
        const recordUpstreamCall = async (work: typeof lastUpstreamCall) => {
            upstreamCalls++;
            lastUpstreamCall = work;
            return err(refusal("no-upstream", ["council"]));
        };
        const application = createCallerApplication({
            host: "entry-1",
            settings: createSettingsReader(() => settingsState),
            now: Date.now,
            newId: () => "id",
            complete: recordUpstreamCall,
            callService: recordUpstreamCall,
            isStopping: () => false,
            onResponse: () => undefined,
        });
        listener = await listen(application, "127.0.0.1:0", {
            headerBytes: 16_384,
            headersTimeoutMilliseconds: 40,
            requestTimeoutMilliseconds: 60,
            checkIntervalMilliseconds: 10,
        });
    });

    afterEach(() => listener.close());

    const completion = { model: "council", prompt: "a", max_tokens: 1 };

    const send = async (path: string, body: unknown, headers: Record<string, string> = {}) => {
        const response = await fetch(`http://${listener.address}${path}`, {
            method: "POST",
            headers: { authorization: `Bearer ${apiKey}`, ...headers },
            body: typeof body === "string" ? body : JSON.stringify(body),
        });
        return {
            status: response.status,
            outcome: response.headers.get("cyclamengap-outcome"),
            body: await response.json() as { error: { code: string; message: string; outcome: string; }; },
        };
    };

    /** Sends raw bytes on a new connection and returns everything received until it closes. */
    const sendRaw = (text: string): Promise<string> =>
        new Promise((resolve, reject) => {
            const [host, port] = listener.address.split(":");
            const socket = connect(Number(port), host, () => socket.write(text));
            let answer = "";
            socket.on("data", chunk => {
                answer += chunk.toString();
            });
            socket.on("close", () => resolve(answer));
            socket.on("error", reject);
        });

    const cases: [string, string, unknown, Record<string, string>, number, string][] = [
        ["a body that is not JSON", "/v1/completions", "{", {}, 400, "malformed-body"],
        ["a body that does not match the schema", "/v1/completions", { model: "council" }, {}, 400, "malformed-body"],
        [
            "a chat without messages",
            "/v1/chat/completions",
            { model: "council", messages: [] },
            {},
            400,
            "malformed-body",
        ],
        ["too many tokens", "/v1/completions", { ...completion, max_tokens: 1e9 }, {}, 400, "malformed-body"],
        ["an unknown model", "/v1/completions", { ...completion, model: "no" }, {}, 404, "unknown-model"],
        [
            "a model the account may not call",
            "/v1/completions",
            { ...completion, model: "secret" },
            {},
            404,
            "unknown-model",
        ],
        ["a wrong key", "/v1/completions", completion, { authorization: "Bearer no" }, 401, "unauthenticated"],
        [
            "a wrong authorization scheme",
            "/v1/completions",
            completion,
            { authorization: "Basic eDp5" },
            401,
            "unauthenticated",
        ],
        [
            "an account whose settings were never valid",
            "/v1/completions",
            completion,
            { authorization: "Bearer broken" },
            401,
            "unauthenticated",
        ],
        ["an unknown service", "/services/no/a", {}, {}, 404, "unknown-service"],
        ["no idempotency key", "/services/dispatch/a", {}, {}, 428, "missing-idempotency-key"],
        [
            "a malformed idempotency key",
            "/services/dispatch/a",
            {},
            { "idempotency-key": "1" },
            400,
            "invalid-idempotency-key",
        ],
        ["a body over the limit", "/v1/completions", "a".repeat(1_048_577), {}, 413, "body-too-large"],
        ["an unknown path", "/v2/completions", completion, {}, 404, "unknown-route"],
    ];

    it("responds not-ready and fails its health check until it has read settings", async () => {
        await listener.close();
        const application = createCallerApplication({
            host: "entry-1",
            settings: createSettingsReader(() => emptySettings),
            now: Date.now,
            newId: () => "id",
            complete: () => Promise.resolve(err(refusal("no-upstream", ["council"]))),
            callService: () => Promise.resolve(err(refusal("no-upstream", ["dispatch"]))),
            isStopping: () => false,
            onResponse: () => undefined,
        });
        listener = await listen(application, "127.0.0.1:0");
        const answer = await send("/v1/completions", completion);
        expect([answer.status, answer.outcome]).to.deep.equal([503, "not-run"]);
        expect(answer.body.error.code).to.equal("not-ready");
        expect((await fetch(`http://${listener.address}/health`)).status).to.equal(503);
    });

    it("never reports not-run for a request that failed inside the entry", async () => {
        const broken = createCallerApplication({
            host: "entry-1",
            settings: createSettingsReader(() => settingsState),
            now: Date.now,
            newId: () => "id",
            complete: () => Promise.reject(new Error("broken")),
            callService: () => Promise.reject(new Error("broken")),
            isStopping: () => false,
            onResponse: () => undefined,
        });
        await listener.close();
        listener = await listen(broken, "127.0.0.1:0");
        const answer = await send("/v1/completions", completion);
        expect(answer.status).to.equal(500);
        expect(answer.body.error).to.include({ code: "internal", outcome: "unknown" });
    });

    for (const [name, path, body, headers, status, code] of cases) {
        it(`refuses ${name} with ${status} ${code}`, async () => {
            const answer = await send(path, body, headers);
            expect(answer.body.error.code).to.equal(code);
            expect(answer.status).to.equal(status);
            expect(answer.outcome).to.equal("not-run");
            expect(answer.body.error.outcome).to.equal("not-run");
            expect(upstreamCalls).to.equal(0);
        });
    }

    it("limits bodies to the size in the settings", async () => {
        settingsState.nodes.set("", { offset: 0, value: { maximumBodyBytes: 10 } });
        const answer = await send("/v1/completions", completion);
        settingsState.nodes.delete("");
        expect(answer.status).to.equal(413);
        expect(answer.body.error.message).to.contain("10 bytes");
    });

    it("distinguishes two accounts that use the same idempotency key and body", async () => {
        const digests = [];
        for (const authorization of [`Bearer ${apiKey}`, `Bearer other-key`]) {
            await send("/services/dispatch/a", {}, { authorization, "idempotency-key": uuid() });
            digests.push(lastUpstreamCall.digest);
        }
        expect(digests[0]).to.not.equal(digests[1]);
    });

    it("passes the path to a service unchanged, even if the service name is percent-encoded", async () => {
        await send("/services/dis%70atch/a%2Fb?c=1", {}, { "idempotency-key": uuid() });
        expect(lastUpstreamCall.path).to.equal("/a%2Fb?c=1");
    });

    it("refuses oversized headers", async () => {
        const answer = await sendRaw(`GET /health HTTP/1.1\r\nHost: a\r\nX-Flood: ${"a".repeat(20_000)}\r\n\r\n`);
        expect(answer).to.match(/^HTTP\/1.1 431/).and.contain("headers-too-large");
    });

    it("refuses bytes that are not HTTP", async () => {
        expect(await sendRaw("hello\r\n\r\n")).to.match(/^HTTP\/1.1 400/).and.contain("malformed-request");
    });

    it("times out a caller that sends its request slowly", async () => {
        const head = "POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n";
        expect(await sendRaw(head)).to.match(/^HTTP\/1.1 408/).and.contain("request-too-slow");
        const withBody = `${head}Authorization: Bearer ${apiKey}\r\n\r\n{"model"`;
        expect(await sendRaw(withBody)).to.match(/^HTTP\/1.1 4/).and.contain(`"not-run"`);
        expect(upstreamCalls).to.equal(0);
    });
});
