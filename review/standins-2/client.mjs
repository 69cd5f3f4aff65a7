/**
 * A client of an entry: one request on a connection of its own, with its answer as it was seen.
 */
import { request as startRequest } from "node:http";

/** Resolves with `status`, `body`, `isWhole` and `error`; never rejects. */
export const sendRequest = (
    { address, host, path, method = "POST", requestId, key, body = "", deadline, headers = {} },
) => new Promise(resolve => {
    const [ip, port] = address.split(":");
    const sentAt = Date.now();
    const chunks = [];
    const finish = outcome => {
        clearTimeout(timer);
        resolve({ requestId, sentAt, endedAt: Date.now(), body: Buffer.concat(chunks).toString("utf8"), ...outcome });
    };
    const call = startRequest({
        host: ip,
        port,
        method,
        path,
        agent: false,
        headers: {
            Host: host,
            Authorization: `Bearer ${key}`,
            "X-Cyclamengap-Request-Id": requestId,
            "X-Cyclamengap-Deadline": String(deadline),
            "Content-Length": Buffer.byteLength(body),
            ...headers,
        },
    }, response => {
        response.on("data", chunk => chunks.push(chunk));
        response.once(
            "end",
            () => finish({ status: response.statusCode, isWhole: response.complete, headers: response.headers }),
        );
        response.once("error", error => finish({ status: response.statusCode, isWhole: false, error: error.message }));
    });
    call.once("error", error => finish({ status: 0, isWhole: false, error: error.message }));
    const timer = setTimeout(() => {
        call.destroy();
        finish({ status: 0, isWhole: false, error: "the client gave up" });
    }, deadline + 500);
    call.end(body);
});

const trafficIntervalMilliseconds = 5;

/** Calls `send` so many times a second, also if timers are late, until the returned function is called. */
export const startTraffic = (perSecond, send) => {
    const startedAt = Date.now();
    let sent = 0;
    const timer = setInterval(() => {
        while (sent < (Date.now() - startedAt) * perSecond / 1_000) {
            sent += 1;
            send(sent);
        }
    }, trafficIntervalMilliseconds);
    return () => clearInterval(timer);
};
