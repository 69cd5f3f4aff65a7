/**
 * The smallest configuration of a version, for tests that only tell versions apart.
 */
import type { IngressConfiguration } from "../../src/state/ingressTypes.js";

export const emptyConfiguration = (version: number): IngressConfiguration => ({
    version,
    routes: [],
    services: [],
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
    accounts: [],
});
