/**
 * Bearer tokens of peers and operators, and API keys of callers.
 *
 * Tokens come from the environment; they are compared in constant time and never logged or dumped.
 */
import { createHash, timingSafeEqual } from "node:crypto";

/** Environment variables that hold the two tokens. */
export const peerTokenVariable = "CYCLAMENGAP_PEER_TOKEN";
export const operatorTokenVariable = "CYCLAMENGAP_OPERATOR_TOKEN";

const sha256 = (text: string): Buffer => createHash("sha256").update(text).digest();

/** SHA-256 digest of an API key, in hexadecimal, as the settings hold it. */
export const apiKeyDigest = (key: string): string => sha256(key).toString("hex");

/** The token of an `Authorization: Bearer` header. */
export const bearerToken = (authorization: string | undefined): string | undefined =>
    /^Bearer ([\x21-\x7e]+)$/i.exec(authorization ?? "")?.[1];

/** Whether two secrets are equal, in a time that does not depend on where they differ. */
export const constantTimeEqual = (left: string, right: string): boolean => timingSafeEqual(sha256(left), sha256(right));
