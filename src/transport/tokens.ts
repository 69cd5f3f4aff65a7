/**
 * Bearer tokens of peers and operators, and API keys of callers.
 *
 * Tokens are read from the environment, compared in constant time, and never logged or included in state dumps.
 */
import { createHash, timingSafeEqual } from "node:crypto";

/** Environment variables that hold the two tokens. */
export const peerTokenVariable = "CYCLAMENGAP_PEER_TOKEN";
export const operatorTokenVariable = "CYCLAMENGAP_OPERATOR_TOKEN";

const sha256 = (text: string): Buffer => createHash("sha256").update(text).digest();

/** SHA-256 digest of an API key in hexadecimal, the form in which the settings store it. */
export const apiKeyDigest = (key: string): string => sha256(key).toString("hex");

/** Extracts the token of an `Authorization: Bearer` header. */
export const bearerToken = (authorization: string | undefined): string | undefined =>
    /^Bearer ([\x21-\x7e]+)$/i.exec(authorization ?? "")?.[1];

/** Compares two secrets in constant time. */
export const constantTimeEqual = (left: string, right: string): boolean => timingSafeEqual(sha256(left), sha256(right));
