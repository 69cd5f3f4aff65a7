/**
 * Inflating of bytes that came from elsewhere, with a bound on what they may become.
 */
import { Result } from "neverthrow";
import { inflateRawSync } from "node:zlib";
import { reasonOf } from "../state/errors.js";

/** More than any message between our processes holds. */
const maximumInflatedBytes = 1 << 20;

export const inflateBounded = Result.fromThrowable(
    (compressed: Uint8Array): Buffer => inflateRawSync(compressed, { maxOutputLength: maximumInflatedBytes }),
    reasonOf,
);
