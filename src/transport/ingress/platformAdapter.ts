/**
 * What an entry needs from the platform that it runs on.
 */
import type { RankEngines } from "../../coordination/experts/rankEngine.js";
import type { CrashEvidenceStore } from "../../coordination/ingress/crashEvidenceSync.js";
import type { FeedDecoder } from "../../coordination/ingress/deploymentFeed.js";
import type { HeaderAdapter } from "../../coordination/ingress/headerAdapter.js";
import type { MemberList } from "../../coordination/ingress/memberList.js";
import type { RecordSource } from "../../coordination/ingress/recordSource.js";

/** Conditions under which parts of the product are switched on. */
export type PlatformConditions = {
    /** Callers and servers may read slowly, and what is held for them counts as this process's memory. */
    hasSlowReaders: boolean;
};

/** Access to a platform: its header fields, store and engines. */
export type PlatformAdapter = {
    headerAdapter: HeaderAdapter;
    /** The platform's store. */
    records: RecordSource;
    decode: FeedDecoder;
    /** The list of the deployment's entries, read through `source`. */
    createMemberList: (source: RecordSource) => MemberList;
    createCrashEvidenceStore: (source: RecordSource) => CrashEvidenceStore;
    engines: Pick<RankEngines, "report">;
    readinessPath: string;
    /** What the platform states of its callers and servers. */
    conditions: PlatformConditions;
};
