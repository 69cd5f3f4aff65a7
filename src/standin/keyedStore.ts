/**
 * Stand-in of the users' platform's store: keyed topics with reads, newest records, appends and faults on command.
 *
 * It keeps what the project uses: one partition a topic, the newest record of each key, long polls, conditional appends,
 * and history that can be dropped.
 */
import { once } from "node:events";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { paths } from "../../platform/names.js";
import { decodeKeyedRecord, encodeKeyedRecord } from "../../platform/storeClient.js";

/** `busy`: refuses with 503; `silent`: answers nothing; `reset`: cuts the connection. */
export type StoreFault = "busy" | "silent" | "reset";

type Topic = { records: Buffer[]; first: number; };

export type KeyedStore = {
    address: string;
    /** Writes a record as the operator or a server does; no value removes the key. */
    put: (topic: string, key: string, value: object | undefined) => void;
    putBytes: (topic: string, key: string, value: Buffer) => void;
    /** Deletes the history of a topic; the newest record of each key stays readable. */
    dropHistory: (topic: string) => void;
    fail: (fault: StoreFault | undefined) => void;
    calls: () => number;
    close: () => Promise<void>;
};

const lengthBytes = 4;
const offsetBytes = 8;

const frameAll = (records: Buffer[]): Buffer =>
    Buffer.concat(records.flatMap(record => {
        const length = Buffer.alloc(lengthBytes);
        length.writeUInt32BE(record.length);
        return [length, record];
    }));

const readAll = async (request: IncomingMessage): Promise<Buffer> => {
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
};

const sendJson = (response: ServerResponse, status: number, body: object): void => {
    response.writeHead(status, { "Content-Type": "application/json" });
    response.end(JSON.stringify(body));
};

export const startKeyedStore = async (listen = "127.0.0.1"): Promise<KeyedStore> => {
    const topics = new Map<string, Topic>();
    const waiting = new Set<() => void>();
    let fault: StoreFault | undefined;
    let calls = 0;

    const topicOf = (name: string): Topic => {
        const topic = topics.get(name) ?? { records: [], first: 0 };
        topics.set(name, topic);
        return topic;
    };

    const endOf = ({ records }: Topic): number => records.length;

    const add = (name: string, records: Buffer[]): number => {
        const topic = topicOf(name);
        const offset = endOf(topic);
        topic.records.push(...records);
        [...waiting].forEach(wake => wake());
        return offset;
    };

    const newest = (topic: Topic): { key: string; value: string; offset: number; }[] => {
        const found = new Map<string, { key: string; value: string; offset: number; }>();
        topic.records.forEach((record, offset) => {
            const { key, value } = decodeKeyedRecord(record);
            found.delete(key);
            if (value.length > 0) {
                found.set(key, { key, value: value.toString("base64"), offset });
            }
        });
        return [...found.values()];
    };

    const waitForRecord = (topic: Topic, from: number, milliseconds: number): Promise<void> =>
        new Promise(resolve => {
            if (endOf(topic) > from || milliseconds === 0) {
                resolve();
                return;
            }
            const wake = (): void => {
                if (endOf(topic) > from) {
                    finish();
                }
            };
            const finish = (): void => {
                clearTimeout(timer);
                waiting.delete(wake);
                resolve();
            };
            const timer = setTimeout(finish, milliseconds);
            waiting.add(wake);
        });

    const handlers: Record<string, (query: URLSearchParams, body: Buffer, response: ServerResponse) => Promise<void>> =
        {
            [paths.newest]: async (query, body, response) => {
                const topic = topicOf(query.get("topic") ?? "");
                sendJson(response, 200, { items: newest(topic), morePages: false, end: endOf(topic) });
            },
            [paths.read]: async (query, body, response) => {
                const topic = topicOf(query.get("topic") ?? "");
                const from = Number(query.get("from"));
                if (from < topic.first) {
                    sendJson(response, 410, { first: topic.first });
                    return;
                }
                await waitForRecord(topic, from, Number(query.get("waitMs") ?? 0));
                const offsets = Buffer.alloc(2 * offsetBytes);
                offsets.writeBigUInt64BE(BigInt(endOf(topic)), 0);
                offsets.writeBigUInt64BE(BigInt(topic.first), offsetBytes);
                response.writeHead(200);
                response.end(Buffer.concat([offsets, frameAll(topic.records.slice(from))]));
            },
            [paths.append]: async (query, body, response) => {
                const name = query.get("topic") ?? "";
                const expected = query.get("asOf");
                if (expected !== null && Number(expected) !== endOf(topicOf(name))) {
                    sendJson(response, 412, { end: endOf(topicOf(name)) });
                    return;
                }
                const offset = add(name, [body.subarray(lengthBytes)]);
                sendJson(response, 200, { offset, end: offset + 1 });
            },
        };

    const server = createServer((request, response) => {
        calls += 1;
        if (fault === "reset") {
            request.socket.destroy();
            return;
        }
        if (fault === "silent") {
            return;
        }
        if (fault === "busy") {
            sendJson(response, 503, {});
            return;
        }
        const url = new URL(request.url ?? "/", "http://store");
        const handler = handlers[url.pathname];
        void readAll(request).then(body =>
            handler === undefined ? sendJson(response, 404, {}) : handler(url.searchParams, body, response)
        );
    });
    server.listen(0, listen);
    await once(server, "listening");
    const { address, port } = server.address() as AddressInfo;

    return {
        address: `${address}:${port}`,
        put: (topic, key, value) =>
            void add(topic, [encodeKeyedRecord(key, Buffer.from(value === undefined ? "" : JSON.stringify(value)))]),
        putBytes: (topic, key, value) => void add(topic, [encodeKeyedRecord(key, value)]),
        dropHistory: name => {
            const topic = topicOf(name);
            topic.first = endOf(topic);
        },
        fail: next => {
            fault = next;
        },
        calls: () => calls,
        close: async () => {
            server.close();
            server.closeAllConnections();
            await once(server, "close");
        },
    };
};
