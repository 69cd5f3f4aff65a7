/**
 * Addresses of the form `ip:port`.
 */

/** Splits an `ip:port` address; `host` is the IP address. */
export const splitAddress = (address: string): { host: string; port: number; } => {
    const colon = address.lastIndexOf(":");
    return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
};
