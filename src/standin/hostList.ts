/**
 * Stand-in for the platform's list of live and leaving hosts, with a configurable read lag and outages.
 */
import type { Clock, HostRecord } from "../state/types.js";
import type { StandinApp } from "./httpServer.js";

export type HostListFaults = { outage: boolean; lagMilliseconds: number; };

/** State of the whole list from the time `since` on. */
type HostListVersion = { version: number; since: number; hosts: HostRecord[]; };

export class HostList {
    readonly faults: HostListFaults = { outage: false, lagMilliseconds: 0 };
    private readonly clock: Clock;
    /** Versions in ascending order, starting with the one that was visible at the last read. */
    private versions: HostListVersion[] = [{ version: 0, since: 0, hosts: [] }];

    constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Adds the routes of the host list to `app`. */
    addRoutes(app: StandinApp): void {
        app.get("/hosts", context => {
            if (this.faults.outage) {
                return context.json({ error: "the host list is not available" }, 503);
            }
            const { version, hosts } = this.visibleVersion();
            const tag = `"${version}"`;
            context.header("etag", tag);
            return context.req.header("if-none-match") === tag
                ? context.body(null, 304)
                : context.json({ version, hosts });
        });
        app.put("/hosts/:host", async context => {
            const host = context.req.param("host");
            const record = { ...await context.req.json<HostRecord>(), host };
            return context.json({ version: this.updateHost(host, record) });
        });
        app.delete("/hosts/:host", context => context.json({ version: this.updateHost(context.req.param("host")) }));
    }

    /** Replaces the record of `host`, or removes it if `record` is undefined, and returns the new version. */
    updateHost(host: string, record?: HostRecord): number {
        const newestVersion = this.newestVersion();
        const others = newestVersion.hosts.filter(other => other.host !== host);
        const hosts = record === undefined ? others : [...others, record];
        const version = newestVersion.version + 1;
        this.versions.push({ version, since: this.clock.now(), hosts });
        return version;
    }

    private newestVersion(): HostListVersion {
        return this.versions[this.versions.length - 1] ?? { version: 0, since: 0, hosts: [] };
    }

    private visibleVersion(): HostListVersion {
        const newestVisibleTime = this.clock.now() - this.faults.lagMilliseconds;
        let position = this.versions.length - 1;
        while (position > 0 && (this.versions[position]?.since ?? 0) > newestVisibleTime) {
            position -= 1;
        }
        this.versions = this.versions.slice(position);
        return this.versions[0] ?? this.newestVersion();
    }
}
