/**
 * Proxy between an entry and an agent that records attempts: the request, each line of the response, and whether the
 * response was truncated.
 */
import { type IncomingMessage, request, type ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";

export type Exchange = {
    host: string;
    path: string;
    request: string;
    status: number | undefined;
    lines: string[];
    cut: boolean;
};

export type Recorder = { address: string; exchanges: Exchange[]; close: () => void; };

const readAll = async (message: IncomingMessage): Promise<string> => {
    const chunks: Buffer[] = [];
    for await (const chunk of message) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString();
};

/** Starts a proxy for the agent at `agentAddress` (`ip:port`); several recorders may append to the same `exchanges`. */
export const startRecorder = async (host: string, agentAddress: string, exchanges: Exchange[]): Promise<Recorder> => {
    const [ip, port] = agentAddress.split(":");

    const forward = async (incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> => {
        const body = await readAll(incoming);
        const path = incoming.url ?? "";
        const exchange: Exchange = { host, path, request: body, status: undefined, lines: [], cut: false };
        if (path.startsWith("/attempts/")) {
            exchanges.push(exchange);
        }
        const agentRequest = request(
            { host: ip, port, path, method: incoming.method, headers: incoming.headers },
            answer => {
                exchange.status = answer.statusCode;
                outgoing.writeHead(answer.statusCode ?? 502, answer.headers);
                outgoing.flushHeaders();
                let text = "";
                answer.on("data", (chunk: Buffer) => {
                    text += chunk.toString();
                    exchange.lines = text.split("\n");
                    outgoing.write(chunk);
                });
                answer.on("end", () => outgoing.end());
                answer.on("error", () => {
                    exchange.cut = true;
                    outgoing.destroy();
                });
            },
        );
        agentRequest.on("error", () => {
            exchange.cut = true;
            outgoing.destroy();
        });
        outgoing.on("close", () => agentRequest.destroy());
        agentRequest.end(body);
    };

    const server = createServer((incoming, outgoing) => void forward(incoming, outgoing));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port: ownPort } = server.address() as AddressInfo;
    return {
        address: `127.0.0.1:${ownPort}`,
        exchanges,
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
};
