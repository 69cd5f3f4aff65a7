/**
 * Paths on a daemon's control address below which its tRPC routers are served.
 */

/** The procedures for other daemons. */
export const peerEndpoint = "/peer";

/** The procedures for agents of the same group. */
export const groupEndpoint = "/group";

/** The procedures for operators. */
export const operatorEndpoint = "/operator";
