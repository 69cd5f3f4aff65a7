/**
 * Typed access to the current settings tree. When the newest values of a node are invalid, its last valid values are
 * used.
 *
 * Values are decoded on first use after a change and cached until the next change, so that requests read plain objects.
 * The index of API keys is built from the raw nodes, because validating each of 15,000 client accounts on each change
 * would exceed the processor time allowed for control work.
 */
import type { Result } from "neverthrow";
import { nodeAt, type SettingsState } from "../state/settingsTree.js";
import {
    availabilityZoneSettings,
    type ClientAccountSettings,
    clientAccountSettings,
    groupNames,
    type GroupSettings,
    groupSettings,
    type RootSettings,
    rootSettings,
    type ServiceSettings,
    serviceSettings,
    type SettingsFailure,
} from "./settingsSchema.js";

export type SettingsReader = {
    state: () => SettingsState;
    /** Whether any settings have been read since the daemon started. */
    isReady: () => boolean;
    root: () => RootSettings | undefined;
    group: (group: string) => GroupSettings | undefined;
    service: (service: string) => ServiceSettings | undefined;
    clientAccount: (clientAccount: string) => ClientAccountSettings | undefined;
    /** Name of the client account that owns the API key with this SHA-256 digest (hexadecimal). */
    clientAccountOfKey: (digest: string) => string | undefined;
    groupsOfModel: (model: string) => string[];
    isZoneOut: (availabilityZone: string) => boolean;
    /** Nodes whose newest values are invalid, with the reason; for the state dump. */
    unreadable: () => SettingsFailure[];
};

const accountsPrefix = "clientAccounts/";

/** Creates a reader of the settings that `currentState` returns. */
export const createSettingsReader = (currentState: () => SettingsState): SettingsReader => {
    let cachedState: SettingsState | undefined;
    let cachedValues = new Map<string, unknown>();
    let keyIndex: Map<string, string> | undefined;
    let modelIndex: Map<string, string[]> | undefined;
    const lastValid = new Map<string, unknown>();
    const failures = new Map<string, SettingsFailure>();

    const refresh = (): SettingsState => {
        const state = currentState();
        if (state !== cachedState) {
            cachedState = state;
            cachedValues = new Map();
            keyIndex = undefined;
            modelIndex = undefined;
        }
        return state;
    };

    const keepLastValid = <Value>(key: string, read: Result<Value, SettingsFailure>): Value | undefined => {
        if (read.isOk()) {
            failures.delete(key);
            lastValid.set(key, read.value);
            return read.value;
        }
        if (read.error.kind === "absent") {
            lastValid.delete(key);
            return undefined;
        }
        failures.set(key, read.error);
        return lastValid.get(key) as Value | undefined;
    };

    const readCached = <Value>(
        key: string,
        read: (state: SettingsState) => Result<Value, SettingsFailure>,
    ): Value | undefined => {
        const state = refresh();
        if (!cachedValues.has(key)) {
            cachedValues.set(key, keepLastValid(key, read(state)));
        }
        return cachedValues.get(key) as Value | undefined;
    };

    const buildKeyIndex = (state: SettingsState): Map<string, string> => {
        const index = new Map<string, string>();
        for (const path of state.nodes.keys()) {
            const digests = path.startsWith(accountsPrefix) ? nodeAt(state, path)?.["apiKeyDigests"] : undefined;
            for (const digest of Array.isArray(digests) ? digests as unknown[] : []) {
                index.set(String(digest), path.slice(accountsPrefix.length));
            }
        }
        return index;
    };

    const group = (name: string): GroupSettings | undefined =>
        readCached(`groups/${name}`, state => groupSettings(state, name));

    const buildModelIndex = (state: SettingsState): Map<string, string[]> => {
        const index = new Map<string, string[]>();
        for (const name of groupNames(state)) {
            const model = group(name)?.model;
            if (model !== undefined) {
                index.set(model, [...(index.get(model) ?? []), name]);
            }
        }
        return index;
    };

    return {
        state: refresh,
        isReady: () => refresh().offset >= 0,
        root: () => readCached("", rootSettings),
        group,
        service: name => readCached(`services/${name}`, state => serviceSettings(state, name)),
        clientAccount: name => readCached(`clientAccounts/${name}`, state => clientAccountSettings(state, name)),
        clientAccountOfKey: digest => {
            const state = refresh();
            keyIndex ??= buildKeyIndex(state);
            return keyIndex.get(digest);
        },
        groupsOfModel: model => {
            const state = refresh();
            modelIndex ??= buildModelIndex(state);
            return modelIndex.get(model) ?? [];
        },
        isZoneOut: name =>
            readCached(`availabilityZones/${name}`, state => availabilityZoneSettings(state, name))?.state === "out",
        unreadable: () => [...failures.values()],
    };
};
