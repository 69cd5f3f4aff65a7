/**
 * A stand-in for the platform's store: keyed topics with one partition each, over HTTP.
 *
 * Servers write their own entries through it. As on the platform, a heartbeat that changes nothing but its number adds no
 * record, and an entry is removed after three intervals of silence.
 */
import { createServer } from "node:http";

const heartbeatsUntilExpiry = 3;
const sweepMilliseconds = 100;
const pageItems = 500;

const encodeKeyed = (key, value) => {
    const keyBytes = Buffer.from(key);
    return Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value]);
};

const readBody = async request => {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
};

const withoutSequence = value => {
    try {
        const { seq, ...rest } = JSON.parse(value.toString("utf8"));
        return JSON.stringify(rest) + typeof seq;
    }
    catch {
        return value.toString("latin1");
    }
};

/**
 * Starts the store on a free port of 127.0.0.1. `delayOf(topic, key, value)` returns the milliseconds by which a write is
 * carried out late and left without an answer; undefined for a write that is carried out and answered at once.
 */
export const startStore = async ({ heartbeatMilliseconds, delayOf = () => undefined, note = () => undefined }) => {
    const topics = new Map();
    const timers = new Set();

    const topicOf = name => {
        const known = topics.get(name) ?? { records: [], newest: new Map(), seenAt: new Map(), waiters: new Set() };
        topics.set(name, known);
        return known;
    };

    const append = (name, key, value) => {
        const topic = topicOf(name);
        const known = topic.newest.get(key);
        topic.seenAt.set(key, Date.now());
        if (value.length > 0 && known !== undefined && withoutSequence(known.value) === withoutSequence(value)) {
            return topic.records.length;
        }
        const record = { key, value, offset: topic.records.length };
        topic.records.push(record);
        if (value.length === 0) {
            topic.newest.delete(key);
        }
        else {
            topic.newest.set(key, record);
        }
        [...topic.waiters].forEach(wake => wake());
        return record.offset;
    };

    const decodeFrames = body => {
        const records = [];
        for (let position = 0; position + 4 <= body.length;) {
            const length = body.readUInt32BE(position);
            const record = body.subarray(position + 4, position + 4 + length);
            const keyLength = record[0];
            records.push({
                key: record.subarray(1, 1 + keyLength).toString("utf8"),
                value: record.subarray(1 + keyLength),
            });
            position += 4 + length;
        }
        return records;
    };

    const answerJson = (response, status, body) => {
        const text = JSON.stringify(body);
        response.writeHead(status, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(text) });
        response.end(text);
    };

    const read = async (query, response) => {
        const topic = topicOf(query.get("topic"));
        const from = Number(query.get("from"));
        const wait = Number(query.get("waitMs") ?? 0);
        if (from >= topic.records.length && wait > 0) {
            await new Promise(resolve => {
                const wake = () => {
                    clearTimeout(timer);
                    topic.waiters.delete(wake);
                    resolve();
                };
                const timer = setTimeout(wake, wait);
                topic.waiters.add(wake);
                response.once("close", wake);
            });
        }
        const head = Buffer.alloc(16);
        head.writeBigUInt64BE(BigInt(topic.records.length), 0);
        const frames = topic.records.slice(from).map(({ key, value }) => {
            const record = encodeKeyed(key, value);
            const length = Buffer.alloc(4);
            length.writeUInt32BE(record.length);
            return Buffer.concat([length, record]);
        });
        const body = Buffer.concat([head, ...frames]);
        response.writeHead(200, { "Content-Length": body.length });
        response.end(body);
    };

    const handlers = {
        "GET /cyclamengap/log-read": (query, request, response) => read(query, response),
        "GET /cyclamengap/log-newest": (query, request, response) => {
            const topic = topicOf(query.get("topic"));
            const after = query.get("after") ?? "";
            const keys = [...topic.newest.keys()].sort().filter(key => key > after);
            const items = keys.slice(0, pageItems).map(key => {
                const { value, offset } = topic.newest.get(key);
                return { key, value: value.toString("base64"), offset };
            });
            answerJson(response, 200, { items, morePages: keys.length > pageItems, end: topic.records.length });
        },
        "POST /cyclamengap/log-append": async (query, request, response) => {
            const name = query.get("topic");
            const records = decodeFrames(await readBody(request));
            const delay = records.map(({ key, value }) => delayOf(name, key, value)).find(found => found !== undefined);
            if (delay !== undefined) {
                const timer = setTimeout(() => {
                    timers.delete(timer);
                    records.forEach(({ key, value }) => append(name, key, value));
                    note("late write carried out", { topic: name, keys: records.map(({ key }) => key) });
                }, delay);
                timers.add(timer);
                return;
            }
            const offsets = records.map(({ key, value }) => append(name, key, value));
            answerJson(response, 200, {
                offset: offsets[0] ?? topicOf(name).records.length,
                end: topicOf(name).records.length,
            });
        },
    };

    const server = createServer((request, response) => {
        const { pathname, searchParams } = new URL(request.url, "http://store");
        const handler = handlers[`${request.method} ${pathname}`];
        response.on("error", () => undefined);
        if (handler === undefined) {
            answerJson(response, 404, {});
            return;
        }
        Promise.resolve(handler(searchParams, request, response)).catch(() => response.destroy());
    });
    server.keepAliveTimeout = 60_000;
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));

    const sweep = setInterval(() => {
        const servers = topicOf("keyed.servers");
        for (const key of [...servers.newest.keys()]) {
            if (Date.now() - servers.seenAt.get(key) > heartbeatsUntilExpiry * heartbeatMilliseconds) {
                note("server entry expired", { id: key });
                append("keyed.servers", key, Buffer.alloc(0));
            }
        }
    }, sweepMilliseconds);

    return {
        address: `127.0.0.1:${server.address().port}`,
        /** Writes as the operator does; the returned time is that of the acknowledgement. */
        write: (topic, key, value) => {
            append(topic, key, Buffer.from(value === undefined ? "" : JSON.stringify(value)));
            return Date.now();
        },
        listed: () => [...topicOf("keyed.servers").newest.keys()],
        close: () => {
            clearInterval(sweep);
            timers.forEach(clearTimeout);
            server.close();
            server.closeAllConnections();
        },
    };
};
