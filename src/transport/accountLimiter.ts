/**
 * Rate limits of client accounts at one entry, wired to the settings, the host list and the other entries of its zone.
 */
import {
    type AccountRateLimiter,
    createAccountRateLimiter,
    parseRateLimitKey,
} from "../coordination/accountRateLimiter.js";
import { demandTopic, startDemandExchange } from "../coordination/demandExchange.js";
import { createRateLimitShares, type RateLimitShares } from "../coordination/rateLimitShares.js";
import type { EntryConfig } from "../protocol/daemonConfig.js";
import { demandDecoders } from "../protocol/demandMessages.js";
import type { HostRecord } from "../state/types.js";
import type { DaemonCore } from "./daemonCore.js";
import { createPeerExchange } from "./peerClient.js";
import { systemClock } from "./systemClock.js";

export type AccountLimiter = { limits: AccountRateLimiter; shares: RateLimitShares; };

/** Starts exchanging account demand with the other entries; ends when `signal` aborts. */
export const startAccountLimiter = (
    config: EntryConfig,
    core: DaemonCore,
    peerToken: string,
    signal: AbortSignal,
): AccountLimiter => {
    const liveZoneEntries = (): HostRecord[] =>
        core.hostList.hosts().filter(({ role, state, availabilityZone }) =>
            role === "entry" && state === "live" && availabilityZone === config.availabilityZone
        );
    const shares = createRateLimitShares({
        clock: systemClock,
        host: config.host,
        members: () => [...new Set([config.host, ...liveZoneEntries().map(({ host }) => host)])],
        limitOf: name => {
            const { unit, clientAccount } = parseRateLimitKey(name);
            const account = core.settings.clientAccount(clientAccount);
            return unit === "tokens" ? account?.tokensPerSecond : account?.requestsPerSecond;
        },
    });
    const topic = demandTopic(config.availabilityZone, shares, demandDecoders);
    core.addTopic(topic);
    void startDemandExchange({
        shares,
        topic,
        peers: () => liveZoneEntries().filter(({ host }) => host !== config.host).map(({ address }) => address),
        exchange: createPeerExchange(peerToken),
        clock: systemClock,
        signal,
    });
    return { limits: createAccountRateLimiter(systemClock, shares), shares };
};
