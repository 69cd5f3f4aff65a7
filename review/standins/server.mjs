/**
 * Stand-in for a server: it answers with its seal, rejects requests for another server with 421, and reports each request
 * that it runs. A model server answers with a stream of events.
 */
import { once } from "node:events";
import { createServer } from "node:http";

const sealOf = (id, requestId) => ({
    "X-Cyclamengap-Request-Id": requestId,
    "X-Cyclamengap-Response-Seal": `seal.${id}`,
    "X-Cyclamengap-Instance-Id": id,
});

const sendAnswer = (response, id, requestId, workMilliseconds) => {
    setTimeout(() => {
        const body = `answer of ${id} to ${requestId}`;
        response.writeHead(200, { ...sealOf(id, requestId), "Content-Length": Buffer.byteLength(body) });
        response.end(body);
    }, workMilliseconds);
};

const sendEvents = (request, response, id, requestId, { events, intervalMilliseconds }) => {
    let lastEvent = Number(request.headers["last-event-id"] ?? 0);
    response.writeHead(200, { ...sealOf(id, requestId), "Content-Type": "text/event-stream" });
    const timer = setInterval(() => {
        lastEvent += 1;
        response.write(`id: ${lastEvent}\ndata: piece ${lastEvent} for ${requestId}\n\n`);
        if (lastEvent >= events) {
            clearInterval(timer);
            response.end();
        }
    }, intervalMilliseconds);
    response.once("close", () => clearInterval(timer));
};

/** `stream` (`events`, `intervalMilliseconds`) makes it a model server. */
export const startServer = async ({ id, ip, port, workMilliseconds = 20, stream, onRequest = () => undefined }) => {
    const server = createServer((request, response) => {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => {
            const requestId = String(request.headers["x-cyclamengap-request-id"] ?? "");
            const target = request.headers["x-cyclamengap-target-instance"];
            if (target !== undefined && target !== id) {
                response.writeHead(421, { "X-Cyclamengap-Instance-Id": id });
                response.end();
                return;
            }
            onRequest({ server: id, requestId, method: request.method, path: request.url, at: performance.now() });
            if (stream === undefined) {
                sendAnswer(response, id, requestId, workMilliseconds);
            }
            else {
                sendEvents(request, response, id, requestId, stream);
            }
        });
    });
    server.listen(port, ip);
    await once(server, "listening");
    return {
        id,
        address: `${ip}:${port}`,
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
};
