/**
 * A TCP proxy whose target can fall silent for its callers: connections open or are open, nothing passes on them for good,
 * and no end is told. Connections that are opened after that time work.
 */
import { once } from "node:events";
import { connect, createServer } from "node:net";

export const startProxy = async (ip, port, target) => {
    const [targetIp, targetPort] = target.split(":");
    const pairs = new Set();
    let isSilent = false;
    const server = createServer(near => {
        const far = connect(Number(targetPort), targetIp);
        const pair = { near, far, isSilent };
        pairs.add(pair);
        const relay = (from, to) => {
            from.on("data", chunk => pair.isSilent || to.write(chunk));
            from.on("end", () => pair.isSilent || to.end());
            from.on("error", () => undefined);
            from.on("close", () => {
                if (!pair.isSilent) {
                    to.destroy();
                    pairs.delete(pair);
                }
            });
        };
        relay(near, far);
        relay(far, near);
    });
    server.listen(port, ip);
    await once(server, "listening");
    return {
        address: `${ip}:${port}`,
        silenceFor: milliseconds => {
            isSilent = true;
            pairs.forEach(pair => {
                pair.isSilent = true;
            });
            setTimeout(() => {
                isSilent = false;
            }, milliseconds).unref();
        },
        close: () => {
            server.close();
            pairs.forEach(({ near, far }) => {
                near.destroy();
                far.destroy();
            });
        },
    };
};
