/**
 * Decompression of untrusted input with a limit on the output size.
 */
import { Result } from "neverthrow";
import { inflateRawSync } from "node:zlib";
import { reasonOf } from "../state/errors.js";

/** Above the size of any message between daemons. */
const maximumInflatedBytes = 1 << 20;

export const inflateBounded = Result.fromThrowable(
    (compressed: Uint8Array): Buffer => inflateRawSync(compressed, { maxOutputLength: maximumInflatedBytes }),
    reasonOf,
);
