/**
 * Paths on a daemon's control address below which its tRPC routers are served.
 */

/** The procedures for other daemons. */
export const peerEndpoint = "/peer";

/** The procedures for operators. */
export const operatorEndpoint = "/operator";
