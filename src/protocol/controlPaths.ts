/**
 * Base paths of the tRPC routers on the control address of a daemon.
 */

/** Procedures for other daemons. */
export const peerEndpoint = "/peer";

/** Procedures for agents of the same group. */
export const groupEndpoint = "/group";

/** Procedures for operators. */
export const operatorEndpoint = "/operator";
