/**
 * Checks whether anything listens at an address, without sending a request there.
 */
import { connect } from "node:net";
import { splitAddress } from "../address.js";

const checkTimeoutMilliseconds = 150;

/** `open`: a connection opens; `closed`: it is refused; `unknown`: nothing responded in time, or the check was aborted. */
type PortState = "open" | "closed" | "unknown";

/** Checks `address` (`ip:port`). */
const checkPort = (address: string, signal: AbortSignal): Promise<PortState> =>
    new Promise(resolve => {
        const socket = connect(splitAddress(address));
        const settle = (state: PortState): void => {
            clearTimeout(timer);
            signal.removeEventListener("abort", abandon);
            socket.destroy();
            resolve(state);
        };
        const abandon = (): void => settle("unknown");
        const timer = setTimeout(abandon, checkTimeoutMilliseconds);
        signal.addEventListener("abort", abandon);
        socket.once("connect", () => settle("open"));
        socket.on(
            "error",
            (error: NodeJS.ErrnoException) => settle(error.code === "ECONNREFUSED" ? "closed" : "unknown"),
        );
    });

/** Whether a connection to `address` is refused; false also if that is unknown. */
export const isPortClosed = async (address: string, signal: AbortSignal): Promise<boolean> =>
    await checkPort(address, signal) === "closed";

/** Whether a connection to `address` opens; false also if that is unknown. */
export const isPortOpen = async (address: string, signal: AbortSignal): Promise<boolean> =>
    await checkPort(address, signal) === "open";
