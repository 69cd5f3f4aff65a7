/**
 * The requests of the soak of stops. Their ids say what they ask for, so that servers and the judge know it.
 */
import { headerNames } from "../../platform/names.js";
import type { RandomNumber } from "../../src/state/types.js";
import { choose } from "./answerForms.js";
import { requestText } from "./callerConnection.js";

/** `talk`: a stream that may be resumed; `chat`: one that may not. */
export type RequestKind = "book" | "read" | "talk" | "chat";

/** What an id says: `events` is 0 for plain requests; `after`: the last event that the caller has already. */
export type RequestFacts = { kind: RequestKind; events: number; after: number; };

const kinds: RequestKind[] = ["book", "book", "read", "talk", "talk", "chat"];
const mostEvents = 70;

export const parseRequestId = (requestId: string): RequestFacts => {
    const [kind, events, after] = requestId.split("-");
    return { kind: kind as RequestKind, events: Number(events), after: Number(after) };
};

export const mayRunOnce = (requestId: string): boolean => ["book", "chat"].includes(parseRequestId(requestId).kind);

export type SoakRequest = { requestId: string; patience: number; text: string; };

/** Each request has a path of its own, so that none is taken for one that crashes servers. */
export const makeRequest = (name: string, random: RandomNumber): SoakRequest => {
    const kind = choose(kinds, random);
    const isStream = kind === "talk" || kind === "chat";
    const events = isStream ? 1 + Math.floor(random() * mostEvents) : 0;
    const after = kind === "talk" && random() < 0.15 ? choose([events, Math.floor(random() * events)], random) : 0;
    const requestId = `${kind}-${events}-${after}-${name}`;
    const patience = 1_500 + Math.floor(random() * 2_500);
    const extra = [
        ...kind === "chat" ? [`${headerNames.tokenUsage}: 40,80\r\n`] : [],
        ...after > 0 ? [`${headerNames.lastEventId}: ${after}\r\n`] : [],
    ].join("");
    const text = requestText({ path: `/${kind}/${name}`, requestId, patience });
    return { requestId, patience, text: text.replace("Authorization:", `${extra}Authorization:`) };
};
