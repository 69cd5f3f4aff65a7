/**
 * What simulated entries last told each other of their running requests and their work, kept as totals so that models
 * with many entries stay fast.
 */
import type { OutstandingWork, PeerWork } from "../../src/coordination/ingress/peerStatusTable.js";

export const toldWork = (entries: number) => {
    type Told = Map<string, PeerWork & { running: number; }>;
    const none = { promptTokens: 0, remaining: 0, heldTokens: 0, unestimated: 0, running: 0 };
    const fields = Object.keys(none) as (keyof typeof none)[];
    const told: Told[] = [...Array(entries).keys()].map(() => new Map());
    const totals: Told = new Map();
    const add = (id: string, amounts: typeof none, sign: number): void => {
        const total = totals.get(id) ?? { ...none };
        fields.forEach(field => total[field] += sign * amounts[field]);
        totals.set(id, total);
    };
    const ofOthers = (entry: number, id: string): typeof none => {
        const total = totals.get(id) ?? none;
        const own = told[entry]?.get(id) ?? none;
        return Object.fromEntries(fields.map(field => [field, total[field] - own[field]])) as typeof none;
    };
    return {
        tell: (entry: number, running: ReadonlyMap<string, number>, work: Record<string, OutstandingWork>): void => {
            told[entry]?.forEach((amounts, id) => add(id, amounts, -1));
            told[entry] = new Map(
                [...running].map(([id, count]) => [
                    id,
                    { ...none, ...work[id] ?? { unestimated: count }, running: count },
                ]),
            );
            told[entry]?.forEach((amounts, id) => add(id, amounts, 1));
        },
        runningOn: (entry: number, id: string): number =>
            (totals.get(id)?.running ?? 0) - (told[entry]?.get(id)?.running ?? 0),
        workOn: (entry: number, id: string): PeerWork => ofOthers(entry, id),
    };
};
