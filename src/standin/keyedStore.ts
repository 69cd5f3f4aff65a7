/**
 * Stand-in for the store of the platform: keyed topics that can be read and appended to, with injected faults.
 *
 * It implements what the product uses: one partition per topic, the newest record of each key, long polls, conditional
 * appends and history that can be deleted.
 */
import { once } from "node:events";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { paths } from "../../platform/names.js";
import { decodeKeyedRecord, encodeKeyedRecord } from "../../platform/storeClient.js";

/** `busy`: responds with status 503; `silent`: never responds; `reset`: closes the connection without a response. */
export type StoreFault = "busy" | "silent" | "reset";

type Topic = { records: Buffer[]; firstOffset: number; };

export type KeyedStore = {
    address: string;
    /** Appends a record as the operator or a server would; an undefined value removes the key. */
    put: (topic: string, key: string, value: object | undefined) => void;
    putBytes: (topic: string, key: string, value: Buffer) => void;
    /** Deletes the history of a topic; the newest record of each key can still be read. */
    dropHistory: (topic: string) => void;
    /** Applies `fault` to all further requests, or none if undefined. */
    setFault: (fault: StoreFault | undefined) => void;
    requestCount: () => number;
    close: () => Promise<void>;
};

const lengthPrefixBytes = 4;
const offsetBytes = 8;

const frameRecords = (records: Buffer[]): Buffer =>
    Buffer.concat(records.flatMap(record => {
        const length = Buffer.alloc(lengthPrefixBytes);
        length.writeUInt32BE(record.length);
        return [length, record];
    }));

const readBody = async (request: IncomingMessage): Promise<Buffer> => {
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
    const waiters = new Set<() => void>();
    let fault: StoreFault | undefined;
    let requestCount = 0;

    const getOrCreateTopic = (name: string): Topic => {
        const topic = topics.get(name) ?? { records: [], firstOffset: 0 };
        topics.set(name, topic);
        return topic;
    };

    const endOffset = ({ records }: Topic): number => records.length;

    const appendRecords = (name: string, records: Buffer[]): number => {
        const topic = getOrCreateTopic(name);
        const offset = endOffset(topic);
        topic.records.push(...records);
        [...waiters].forEach(wake => wake());
        return offset;
    };

    const newestRecords = (topic: Topic): { key: string; value: string; offset: number; }[] => {
        const recordsByKey = new Map<string, { key: string; value: string; offset: number; }>();
        topic.records.forEach((record, offset) => {
            const { key, value } = decodeKeyedRecord(record);
            recordsByKey.delete(key);
            if (value.length > 0) {
                recordsByKey.set(key, { key, value: value.toString("base64"), offset });
            }
        });
        return [...recordsByKey.values()];
    };

    const waitForRecord = (topic: Topic, from: number, milliseconds: number): Promise<void> =>
        new Promise(resolve => {
            if (endOffset(topic) > from || milliseconds === 0) {
                resolve();
                return;
            }
            const wake = (): void => {
                if (endOffset(topic) > from) {
                    finish();
                }
            };
            const finish = (): void => {
                clearTimeout(timer);
                waiters.delete(wake);
                resolve();
            };
            const timer = setTimeout(finish, milliseconds);
            waiters.add(wake);
        });

    const handlers: Record<string, (query: URLSearchParams, body: Buffer, response: ServerResponse) => Promise<void>> =
        {
            [paths.newest]: async (query, body, response) => {
                const topic = getOrCreateTopic(query.get("topic") ?? "");
                sendJson(response, 200, { items: newestRecords(topic), morePages: false, end: endOffset(topic) });
            },
            [paths.read]: async (query, body, response) => {
                const topic = getOrCreateTopic(query.get("topic") ?? "");
                const from = Number(query.get("from"));
                if (from < topic.firstOffset) {
                    sendJson(response, 410, { first: topic.firstOffset });
                    return;
                }
                const waitMilliseconds = Number(query.get("waitMs") ?? 0);
                await waitForRecord(topic, from, Number.isInteger(waitMilliseconds) ? waitMilliseconds : 0);
                const offsets = Buffer.alloc(2 * offsetBytes);
                offsets.writeBigUInt64BE(BigInt(endOffset(topic)), 0);
                offsets.writeBigUInt64BE(BigInt(topic.firstOffset), offsetBytes);
                response.writeHead(200);
                response.end(Buffer.concat([offsets, frameRecords(topic.records.slice(from))]));
            },
            [paths.append]: async (query, body, response) => {
                const name = query.get("topic") ?? "";
                const expectedEndOffset = query.get("asOf");
                if (expectedEndOffset !== null && Number(expectedEndOffset) !== endOffset(getOrCreateTopic(name))) {
                    sendJson(response, 412, { end: endOffset(getOrCreateTopic(name)) });
                    return;
                }
                const offset = appendRecords(name, [body.subarray(lengthPrefixBytes)]);
                sendJson(response, 200, { offset, end: offset + 1 });
            },
        };

    const server = createServer((request, response) => {
        requestCount += 1;
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
        void readBody(request).then(body =>
            handler === undefined ? sendJson(response, 404, {}) : handler(url.searchParams, body, response)
        );
    });
    server.listen(0, listen);
    await once(server, "listening");
    const { address, port } = server.address() as AddressInfo;

    return {
        address: `${address}:${port}`,
        put: (topic, key, value) =>
            void appendRecords(topic, [
                encodeKeyedRecord(key, Buffer.from(value === undefined ? "" : JSON.stringify(value))),
            ]),
        putBytes: (topic, key, value) => void appendRecords(topic, [encodeKeyedRecord(key, value)]),
        dropHistory: name => {
            const topic = getOrCreateTopic(name);
            topic.firstOffset = endOffset(topic);
        },
        setFault: nextFault => {
            fault = nextFault;
        },
        requestCount: () => requestCount,
        close: async () => {
            server.close();
            server.closeAllConnections();
            await once(server, "close");
        },
    };
};
