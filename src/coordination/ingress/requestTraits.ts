/**
 * Identifies what a request asks for, so that it is recognized when it comes again.
 *
 * A caller's every attempt has a new request id and may reach another entry. The content digest covers what stays the
 * same: method, host, path, client account and body. Digests are 64-bit hashes, equal at all entries.
 */
import createHasher from "xxhash-wasm";
import type { Envelope } from "../../state/ingressTypes.js";

const { create64 } = await createHasher();

const digestRadix = 36;

/** What identifies a request beside its id. */
export type RequestTraits = {
    /** Digest of method, host, path, client account and body. */
    content: string;
    /** Digests of the parts of its prompt that other requests may share, without the last one. */
    parts: string[];
};

const digestOf = (...fields: (string | Uint8Array)[]): string => {
    const hash = create64();
    fields.forEach(field => hash.update(field).update("\u0000"));
    return hash.digest().toString(digestRadix);
};

export const requestTraits = (
    { method, host, target, promptParts }: Pick<Envelope, "method" | "host" | "target" | "promptParts">,
    service: string,
    clientAccount: string | undefined,
    body: Uint8Array,
): RequestTraits => ({
    content: digestOf(method, host, target, clientAccount ?? "", body),
    // Another service runs other weights, so a part that crashes one need not crash the other.
    parts: [...new Set(promptParts.slice(0, -1))].map(part => digestOf(service, part)),
});

/** The traits by which a request is held back if requests with one of them crash upstreams. */
export const suspectTraits = ({ content, parts }: RequestTraits): string[] => [content, ...parts];
