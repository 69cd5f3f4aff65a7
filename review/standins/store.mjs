/**
 * Stand-in for the platform's store: keyed topics with one partition, long polls, conditional appends, outages of the whole
 * and of one topic, and the return from an older copy with a new era.
 */
import { once } from "node:events";
import { createServer } from "node:http";

const lengthBytes = 4;
const offsetBytes = 8;

const readBody = async request => {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
};

const encodeRecord = (key, value) => {
    const keyBytes = Buffer.from(key);
    return Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value]);
};

const decodeRecord = record => {
    const keyLength = record[0] ?? 0;
    return { key: record.subarray(1, 1 + keyLength).toString(), value: record.subarray(1 + keyLength) };
};

const frame = record => {
    const length = Buffer.alloc(lengthBytes);
    length.writeUInt32BE(record.length);
    return Buffer.concat([length, record]);
};

const splitFrames = body => {
    const records = [];
    for (let position = 0; position + lengthBytes <= body.length;) {
        const length = body.readUInt32BE(position);
        records.push(body.subarray(position + lengthBytes, position + lengthBytes + length));
        position += lengthBytes + length;
    }
    return records;
};

export const startStore = async (ip, port) => {
    /** By topic: its records with the time of their append. */
    const topics = new Map();
    const waiters = new Set();
    let era = 0;
    let isAway = false;
    /** The topic whose partition is down, and the calls to it that lost their answers. */
    let silentTopic;
    const openCalls = new Map();

    const topicOf = name => {
        const topic = topics.get(name) ?? [];
        topics.set(name, topic);
        return topic;
    };

    const append = (name, records) => {
        const topic = topicOf(name);
        const offset = topic.length;
        records.forEach(record => topic.push({ record, at: performance.now() }));
        [...waiters].forEach(wake => wake());
        return offset;
    };

    const sendJson = (response, status, body) => {
        if (openCalls.get(response)?.hasLostAnswer === true) {
            return;
        }
        response.writeHead(status, { "Content-Type": "application/json", "Store-Era": String(era) });
        response.end(JSON.stringify(body));
    };

    const waitForRecord = (name, from, milliseconds) =>
        new Promise(resolve => {
            if (topicOf(name).length > from || milliseconds === 0) {
                resolve();
                return;
            }
            const finish = () => {
                clearTimeout(timer);
                waiters.delete(wake);
                resolve();
            };
            const wake = () => topicOf(name).length > from && finish();
            const timer = setTimeout(finish, milliseconds);
            waiters.add(wake);
        });

    const handlers = {
        "GET /cyclamengap/log-newest": async (query, body, response) => {
            const topic = topicOf(query.get("topic"));
            const newest = new Map();
            topic.forEach(({ record }, offset) => {
                const { key, value } = decodeRecord(record);
                newest.delete(key);
                if (value.length > 0) {
                    newest.set(key, { key, value: value.toString("base64"), offset });
                }
            });
            sendJson(response, 200, { items: [...newest.values()], morePages: false, end: topic.length });
        },
        "GET /cyclamengap/log-read": async (query, body, response) => {
            const name = query.get("topic");
            const from = Number(query.get("from"));
            if (from > topicOf(name).length) {
                sendJson(response, 410, { first: 0 });
                return;
            }
            const waitMilliseconds = Number(query.get("waitMs") ?? 0);
            await waitForRecord(
                name,
                from,
                Number.isInteger(waitMilliseconds) ? Math.min(waitMilliseconds, 30_000) : 0,
            );
            if (openCalls.get(response)?.hasLostAnswer === true) {
                return;
            }
            const topic = topicOf(name);
            const offsets = Buffer.alloc(2 * offsetBytes);
            offsets.writeBigUInt64BE(BigInt(topic.length), 0);
            response.writeHead(200, { "Store-Era": String(era) });
            response.end(Buffer.concat([offsets, ...topic.slice(from).map(({ record }) => frame(record))]));
        },
        "POST /cyclamengap/log-append": async (query, body, response) => {
            const name = query.get("topic");
            const expectedEnd = query.get("asOf");
            if (expectedEnd !== null && Number(expectedEnd) !== topicOf(name).length) {
                sendJson(response, 412, { end: topicOf(name).length });
                return;
            }
            const offset = append(name, splitFrames(body));
            sendJson(response, 200, { offset, end: topicOf(name).length });
        },
    };

    const server = createServer((request, response) => {
        if (isAway) {
            request.socket.destroy();
            return;
        }
        const url = new URL(request.url, "http://store");
        const call = { topic: url.searchParams.get("topic"), hasLostAnswer: false };
        call.hasLostAnswer = call.topic === silentTopic;
        openCalls.set(response, call);
        response.once("close", () => openCalls.delete(response));
        const handler = handlers[`${request.method} ${url.pathname}`];
        readBody(request)
            .then(body =>
                handler === undefined ? sendJson(response, 404, {}) : handler(url.searchParams, body, response)
            )
            .catch(() => response.destroy());
    });
    server.keepAliveTimeout = 60_000;
    server.listen(port, ip);
    await once(server, "listening");

    return {
        address: `${ip}:${port}`,
        isAway: () => isAway,
        /** Writes a record as the operator or a server does; false while the store is away. An undefined value removes the key. */
        put: (topic, key, value) => {
            if (isAway || topic === silentTopic) {
                return false;
            }
            append(topic, [encodeRecord(key, Buffer.from(value === undefined ? "" : JSON.stringify(value)))]);
            return true;
        },
        /** Answers no call to a topic for a while; the calls that are open then are never answered. */
        silenceTopic: (topic, milliseconds) => {
            silentTopic = topic;
            openCalls.forEach(call => {
                call.hasLostAnswer ||= call.topic === topic;
            });
            setTimeout(() => {
                silentTopic = undefined;
            }, milliseconds).unref();
        },
        leave: () => {
            isAway = true;
            server.closeAllConnections();
        },
        /** Comes back from a copy that is `ageMilliseconds` old: what was appended since is gone. */
        returnFromCopy: ageMilliseconds => {
            const copiedAt = performance.now() - ageMilliseconds;
            for (const [name, topic] of topics) {
                topics.set(name, topic.filter(({ at }) => at <= copiedAt));
            }
            era += 1;
            isAway = false;
        },
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
};
