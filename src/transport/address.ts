/**
 * Addresses of the form `ip:port`.
 */
import { isIPv4 } from "node:net";

const maximumPort = 65_535;

/** Whether the text is an IPv4 address and a port that can be connected to. */
export const isAddress = (text: string): boolean => {
    const [, ip = "", port = ""] = /^([\d.]+):(\d{1,5})$/.exec(text) ?? [];
    return isIPv4(ip) && Number(port) >= 1 && Number(port) <= maximumPort;
};

/** Splits an `ip:port` address; `host` is the IP address. */
export const splitAddress = (address: string): { host: string; port: number; } => {
    const colon = address.lastIndexOf(":");
    return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
};
