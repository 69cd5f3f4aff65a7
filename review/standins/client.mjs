/**
 * A caller of the deployment: sends one request and reports how it ended.
 */
import { request as startRequest } from "node:http";

let sent = 0;

export const nextRequestId = () => {
    sent += 1;
    return `r${process.pid.toString(16)}-${sent.toString(16).padStart(6, "0")}`;
};

/** Sends a request to `address` (`ip:port`); resolves with its status, or with the reason why there is none. */
export const call = (address, { method = "GET", host, path, key, deadlineMilliseconds, body, agent, headers = {} }) =>
    new Promise(resolve => {
        const [ip, port] = address.split(":");
        const requestId = nextRequestId();
        const sentAt = performance.now();
        const finish = result => {
            clearTimeout(timer);
            resolve({ requestId, sentAt, endedAt: performance.now(), ...result });
        };
        const request = startRequest({
            host: ip,
            port: Number(port),
            method,
            path,
            agent: agent ?? false,
            headers: {
                "Host": host,
                "X-Cyclamengap-Request-Id": requestId,
                "X-Cyclamengap-Deadline": String(deadlineMilliseconds),
                "Authorization": `Bearer ${key}`,
                ...(body === undefined ? {} : { "Content-Length": Buffer.byteLength(body) }),
                ...headers,
            },
        });
        const timer = setTimeout(() => {
            finish({ status: 0, reason: "no complete answer in time" });
            request.destroy();
        }, deadlineMilliseconds);
        request.on("error", error => finish({ status: 0, reason: error.code ?? error.message }));
        request.on("response", response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("error", () => undefined);
            response.on("close", () =>
                response.complete
                    ? finish({
                        status: response.statusCode,
                        seal: response.headers["x-cyclamengap-response-seal"],
                        body: Buffer.concat(chunks).toString(),
                    })
                    : finish({ status: 0, reason: "the answer was cut" }));
        });
        request.end(body);
    });

export const ready = (address, path = "/cyclamengap/readyz") =>
    call(address, { path, host: "ready", key: "", deadlineMilliseconds: 500 }).then(({ status }) => status === 200);

export const sleep = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds));
