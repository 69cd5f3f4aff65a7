/**
 * A stand-in for an application server, one process each: registers itself, sends heartbeats, and answers plain requests and
 * event streams with a seal. It takes its options as JSON from its first argument and reports what it runs to its parent.
 *
 * A request whose body holds `"crash"` crashes it so many milliseconds after it began to run it.
 */
import { createServer, request as startRequest } from "node:http";

const options = JSON.parse(process.argv[2]);
const { id, service, zone, slots, store, heartbeatMilliseconds, workMilliseconds, events, gapMilliseconds } = options;
/** How long it is cold after its start, and the requests a second at which it then crashes. */
const { coldMilliseconds = 0, coldCrashPerSecond = Infinity } = options;
/** Whether its answers have no length, and end with their connection. */
const { isUnframed = false } = options;
const bornAt = Date.now();
let sequence = 0;
let isLeaving = false;
let heartbeats;

const tell = (kind, details = {}) => process.send?.({ kind, id, at: Date.now(), ...details });

const encodeRecord = value => {
    const keyBytes = Buffer.from(id);
    const record = Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, Buffer.from(value)]);
    const length = Buffer.alloc(4);
    length.writeUInt32BE(record.length);
    return Buffer.concat([length, record]);
};

/** Writes the entry of this server; resolves with the status, or never if the store doesn't answer. */
const write = value =>
    new Promise((resolve, reject) => {
        const [host, port] = store.split(":");
        const call = startRequest({
            host,
            port,
            method: "POST",
            path: "/cyclamengap/log-append?topic=keyed.servers&part=0",
        }, response => {
            response.resume();
            response.once("end", () => resolve(response.statusCode));
        });
        call.once("error", reject);
        call.end(encodeRecord(value));
    });

const coldLeft = () => Math.max(0, bornAt + coldMilliseconds - Date.now());

/** Requests of the last second while it is cold; at too many, it crashes. */
const coldArrivals = [];
const countColdArrival = () => {
    const now = Date.now();
    coldArrivals.push(now);
    while (coldArrivals[0] <= now - 1_000) {
        coldArrivals.shift();
    }
    if (coldArrivals.length >= coldCrashPerSecond) {
        tell("crashes, cold", { requestsInLastSecond: coldArrivals.length });
        setTimeout(() => process.kill(process.pid, "SIGKILL"), 10);
    }
};

const entry = address => {
    sequence += 1;
    return JSON.stringify({
        service,
        address,
        zone,
        version: 1,
        slots,
        state: "ready",
        coldLeftMs: coldLeft(),
        seq: sequence,
        born: bornAt,
    });
};

const readBody = async request => {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
};

const sleep = milliseconds =>
    new Promise(resolve => {
        setTimeout(resolve, milliseconds);
    });

const headersFor = requestId => ({
    "X-Cyclamengap-Request-Id": requestId,
    "X-Cyclamengap-Instance-Id": id,
    ...(isLeaving ? { "Server-Leaving": "1" } : {}),
});

/** Begins an answer; one without a length ends with its connection. */
const startAnswer = (response, headers) => {
    if (isUnframed) {
        response.useChunkedEncodingByDefault = false;
        response.shouldKeepAlive = false;
    }
    response.writeHead(200, headers);
};

const runStream = async (request, response, requestId) => {
    const first = Number(request.headers["last-event-id"] ?? 0) + 1;
    startAnswer(response, {
        ...headersFor(requestId),
        "X-Cyclamengap-Response-Seal": `seal.${id}.${requestId}`,
        "Content-Type": "text/event-stream",
    });
    for (let event = first; event <= events && !response.destroyed; event += 1) {
        await sleep(gapMilliseconds);
        response.write(`id: ${event}\ndata: event ${event}\n\n`);
    }
    response.end();
};

const answerJson = (response, status, value) => {
    const body = JSON.stringify(value);
    response.writeHead(status, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(body) });
    response.end(body);
};

const runPlain = async (response, requestId, milliseconds) => {
    await sleep(milliseconds);
    const body = JSON.stringify({ receipt: requestId, by: id });
    startAnswer(response, {
        ...headersFor(requestId),
        "X-Cyclamengap-Response-Seal": `seal.${id}.${requestId}`,
        "Content-Type": "application/json",
        ...(isUnframed ? {} : { "Content-Length": Buffer.byteLength(body) }),
    });
    response.end(body);
    tell("finished", { requestId });
};

const server = createServer(async (request, response) => {
    const requestId = request.headers["x-cyclamengap-request-id"];
    const target = request.headers["x-cyclamengap-target-instance"];
    response.on("error", () => undefined);
    const body = await readBody(request).catch(() => "");
    if (request.url === "/cyclamengap/report") {
        answerJson(response, 200, {
            stage: "unified",
            models: [],
            busy: false,
            seq: 0,
            queued: 0,
            running: 0,
            kvUsed: 0,
            kvTotal: 0,
            handles: 0,
        });
        return;
    }
    if (requestId === undefined) {
        response.writeHead(400, { "X-Cyclamengap-Not-Executed": "1", "Content-Length": 0 });
        response.end();
        return;
    }
    if (target !== undefined && target !== id) {
        response.writeHead(421, { ...headersFor(requestId), "X-Cyclamengap-Not-Executed": "1", "Content-Length": 0 });
        response.end();
        return;
    }
    tell("reached", {
        requestId,
        path: request.url,
        tenant: request.headers["x-cyclamengap-tenant"],
        isLeaving,
        coldLeft: coldLeft(),
    });
    if (coldLeft() > 0) {
        countColdArrival();
    }
    const { crash } = body === "" ? {} : JSON.parse(body);
    if (crash !== undefined) {
        setTimeout(() => process.kill(process.pid, "SIGKILL"), crash);
    }
    if (request.url.startsWith("/stream/")) {
        await runStream(request, response, requestId);
    }
    else {
        await runPlain(response, requestId, crash === undefined ? workMilliseconds : crash * 2);
    }
});
server.listen(0, "127.0.0.1", async () => {
    const address = `127.0.0.1:${server.address().port}`;
    await write(entry(address));
    tell("registered", { address });
    heartbeats = setInterval(() => void write(entry(address)).catch(() => undefined), heartbeatMilliseconds);
});

process.on("message", async ({ kind }) => {
    if (kind === "heartbeat") {
        void write(entry(`127.0.0.1:${server.address().port}`)).catch(() => undefined);
        clearInterval(heartbeats);
        tell("heartbeat sent", { seq: sequence });
    }
    if (kind === "leave") {
        // This one never reports that it is draining: its entry is removed, and it goes on serving.
        clearInterval(heartbeats);
        await write("");
        isLeaving = true;
        tell("entry removed");
    }
    if (kind === "exit") {
        tell("exits");
        setTimeout(() => process.exit(0), 5);
    }
});
process.on("disconnect", () => process.exit(0));
