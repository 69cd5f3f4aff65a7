/**
 * A caller's connection that takes several requests at once, and tells of each how it ended on the socket.
 */
import { once } from "node:events";
import { connect } from "node:net";
import { splitAddress } from "../../src/transport/address.js";
import { type ConnectionEnd, parseAnswer } from "./answerParser.js";

export type CallOutcome = {
    requestId: string;
    /** By `performance.now`. */
    sentAt: number;
    settledAt: number;
    /** 0: the connection ended before a whole head. */
    status: number;
    fields: Record<string, string>;
    body: string;
    isComplete: boolean;
    /** How the connection ended, if it ended this answer. */
    connectionEnd: ConnectionEnd | undefined;
    /** Whether an answer before it on its connection announced that this closes, or was cut off. */
    isBehindLast: boolean;
};

export type PipeliningConnection = {
    send: (requestId: string, text: string) => Promise<CallOutcome>;
    /** Whether the entry has announced that it closes the connection, or has closed it. */
    isClosing: () => boolean;
    hasEnded: () => boolean;
    end: () => void;
    /** Bytes received while no request was waiting. */
    strayText: () => string;
};

type Waiting = { requestId: string; sentAt: number; settle: (outcome: CallOutcome) => void; };

/** Resolves with undefined if the connection is refused. */
export const openPipeliningConnection = async (address: string): Promise<PipeliningConnection | undefined> => {
    const socket = connect({ ...splitAddress(address), noDelay: true });
    let end: ConnectionEnd | undefined;
    let text = "";
    let strayText = "";
    let isLast = false;
    const waiting: Waiting[] = [];

    const settleFirst = (answer: Omit<CallOutcome, "requestId" | "sentAt" | "settledAt" | "isBehindLast">): void => {
        const { requestId, sentAt, settle } = waiting.shift()!;
        settle({ ...answer, requestId, sentAt, settledAt: performance.now(), isBehindLast: isLast });
    };
    const readAnswers = (): void => {
        while (waiting.length > 0) {
            const parsed = parseAnswer(text, end);
            if (parsed?.isComplete !== true) {
                break;
            }
            text = parsed.rest;
            settleFirst({ ...parsed, connectionEnd: end });
            isLast ||= parsed.fields.connection === "close";
        }
        if (waiting.length === 0) {
            strayText += text;
            text = "";
        }
    };
    const finish = (): void => {
        readAnswers();
        while (waiting.length > 0) {
            const parsed = parseAnswer(text, end) ?? { status: 0, fields: {}, body: text };
            text = "";
            settleFirst({ ...parsed, isComplete: false, connectionEnd: end });
            isLast = true;
        }
    };
    socket.on("data", (bytes: Buffer) => {
        text += bytes.toString("latin1");
        readAnswers();
    });
    socket.on("error", () => {
        end ??= "reset";
    });
    socket.on("end", () => {
        end ??= "closed";
    });
    socket.on("close", () => {
        end ??= "closed";
        finish();
    });
    const isOpen = await Promise.race([
        once(socket, "connect").then(() => true, () => false),
        once(socket, "close").then(() => false),
    ]);
    return !isOpen ? undefined : {
        send: (requestId, request) =>
            new Promise(settle => {
                waiting.push({ requestId, sentAt: performance.now(), settle });
                if (socket.writable) {
                    socket.write(request, "latin1");
                }
                if (socket.destroyed) {
                    finish();
                }
            }),
        isClosing: () => isLast || end !== undefined,
        hasEnded: () => end !== undefined,
        end: () => void socket.destroy(),
        strayText: () => strayText,
    };
};
