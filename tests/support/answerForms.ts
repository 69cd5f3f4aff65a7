/**
 * The ways in which HTTP lets a server mark the end of an answer, and the ways in which a server breaks one off.
 */
import type { Socket } from "node:net";
import type { RandomNumber } from "../../src/state/types.js";
import { head } from "./scriptedServer.js";

export type WrittenAnswer = { requestId: string; status: number; contentType: string; pieces: string[]; };

/** `broken`: by the server; `abandoned`: the other side closed the connection. */
export type AnswerEnd = "finished" | "broken" | "abandoned";

type Form = {
    version?: "HTTP/1.0";
    fields: (bodyBytes: number) => Record<string, string>;
    frame: (piece: string) => string;
    end?: string;
    /** What becomes of the connection behind the answer. */
    behind: "kept" | "closed" | "reset";
    /** Whether an orderly close marks the end of the body. */
    endsWithConnection?: boolean;
};

const unframed = (piece: string): string => piece;
const chunk = (piece: string, extension = ""): string => `${piece.length.toString(16)}${extension}\r\n${piece}\r\n`;
const length = (bytes: number): Record<string, string> => ({ "Content-Length": String(bytes) });
const chunked = { "Transfer-Encoding": "chunked" };
const close = { Connection: "close" };

const forms = {
    "length": { fields: length, frame: unframed, behind: "kept" },
    "length, closed": { fields: bytes => ({ ...length(bytes), ...close }), frame: unframed, behind: "closed" },
    "length, reset": { fields: length, frame: unframed, behind: "reset" },
    "length, HTTP/1.0": { version: "HTTP/1.0", fields: length, frame: unframed, behind: "closed" },
    "chunks": { fields: () => chunked, frame: chunk, end: "0\r\n\r\n", behind: "kept" },
    "chunks, closed": { fields: () => ({ ...chunked, ...close }), frame: chunk, end: "0\r\n\r\n", behind: "closed" },
    "chunks, trailers": {
        fields: () => ({ ...chunked, Trailer: "X-Checked" }),
        frame: chunk,
        end: "0\r\nX-Checked: yes\r\n\r\n",
        behind: "kept",
    },
    "chunks, extensions": {
        fields: () => chunked,
        frame: piece => chunk(piece, ";part=1"),
        end: "0;last\r\n\r\n",
        behind: "kept",
    },
    "no length": { fields: () => close, frame: unframed, behind: "closed", endsWithConnection: true },
    "no length, HTTP/1.0": {
        version: "HTTP/1.0",
        fields: () => ({}),
        frame: unframed,
        behind: "closed",
        endsWithConnection: true,
    },
    "status 204": { fields: () => ({}), frame: unframed, behind: "kept" },
} satisfies Record<string, Form>;

export type FormName = keyof typeof forms;

export type AnswerPlan = {
    form: FormName;
    /** Number of pieces that are written before the server breaks off; -1: none, and no head. */
    breaksAfter: number | undefined;
    breaksBy: "close" | "reset";
    /** Before each piece. */
    pauseMilliseconds: number;
};

const bodyForms = (Object.keys(forms) as FormName[]).filter(form => form !== "status 204");
/** A reset discards what the other side's kernel has not taken yet, so it follows short answers only. */
const longestBodyBeforeReset = 8_192;

export const choose = <T>(choices: readonly T[], random: RandomNumber): T =>
    choices[Math.floor(random() * choices.length)]!;

/** Cuts some pieces at any byte, so that they arrive in parts. */
export const cutSome = (pieces: string[], random: RandomNumber): string[] =>
    pieces.flatMap(piece => {
        const at = 1 + Math.floor(random() * (piece.length - 1));
        return piece.length > 1 && random() < 0.1 ? [piece.slice(0, at), piece.slice(at)] : [piece];
    });

export const planAnswer = (
    { status, pieces }: WrittenAnswer,
    brokenShare: number,
    random: RandomNumber,
): AnswerPlan => {
    const isLong = pieces.join("").length > longestBodyBeforeReset;
    const form = status === 204 ? "status 204" : choose(bodyForms, random);
    const breaksOff = status !== 204 && random() < brokenShare;
    return {
        form: isLong && form === "length, reset" ? "length" : form,
        // Behind the last piece, an answer with a length is whole.
        breaksAfter: breaksOff ? Math.floor(random() * (pieces.length + 1)) - 1 : undefined,
        // An orderly close of an answer without a length would be its regular end.
        breaksBy: form.startsWith("no length") || random() < 0.5 ? "reset" : "close",
        pauseMilliseconds: random() < 0.3 ? 0 : random() * (status === 200 && pieces.length > 4 ? 20 : 150),
    };
};

const pause = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds));

/** Resolves with whether the bytes could be written. */
const send = (socket: Socket, text: string): Promise<boolean> =>
    new Promise(resolve => {
        if (socket.writable) {
            socket.write(text, error => resolve(error === undefined || error === null));
        }
        else {
            resolve(false);
        }
    });

export const writeAnswer = async (socket: Socket, answer: WrittenAnswer, plan: AnswerPlan): Promise<AnswerEnd> => {
    const { requestId, status, contentType, pieces } = answer;
    const form: Form = forms[plan.form];
    const fields = { "Content-Type": contentType, ...form.fields(pieces.join("").length) };
    const headText = head(status, requestId, fields).replace("HTTP/1.1", form.version ?? "HTTP/1.1");
    const parts = [headText, ...pieces.map(piece => form.frame(piece))];
    const written = plan.breaksAfter === undefined ? [...parts, form.end ?? ""] : parts.slice(0, plan.breaksAfter + 1);
    for (const part of written) {
        await pause(plan.pauseMilliseconds);
        if (part !== "" && !await send(socket, part)) {
            return "abandoned";
        }
    }
    const behind = { kept: undefined, closed: "close", reset: "reset" }[form.behind];
    const action = plan.breaksAfter === undefined ? behind : plan.breaksBy;
    if (action === "reset") {
        socket.resetAndDestroy();
    }
    else if (action === "close") {
        socket.end();
    }
    return plan.breaksAfter === undefined ? "finished" : "broken";
};

export const endsWithConnection = (form: FormName): boolean => (forms[form] as Form).endsWithConnection === true;
