/**
 * Orders about expert maps to one stand-in rank; each answers with the rank's status, or with why it was refused.
 */
import type { OrderHandler, OrderRequest } from "./orders.js";
import type { RankMap, RankMapRefusal } from "./rankMap.js";

type Order = OrderRequest["order"];

const numberOf = (order: Order, field: string): number => Number(order[field]);

const answer = (map: RankMap, refused: RankMapRefusal | undefined): Record<string, unknown> => ({
    status: map.status(-1),
    ...(refused === undefined ? {} : { refused }),
});

/** Handlers for one rank; `load` takes as long as its weights need. */
export const mapOrderHandlers = (map: RankMap, load: () => Promise<void>): Record<string, OrderHandler> => ({
    "prepare-map": async order => {
        const { restarts } = map;
        await load();
        if (map.restarts !== restarts) {
            return answer(map, "conflict");
        }
        map.load(String(order["plan"]));
        return answer(map, undefined);
    },
    "promise-map": order =>
        answer(
            map,
            map.promise({
                formation: numberOf(order, "formation"),
                commit: numberOf(order, "commit"),
                plan: String(order["plan"]),
                previous: numberOf(order, "previous"),
                leadSteps: numberOf(order, "leadSteps"),
            }),
        ),
    "release-map": order =>
        answer(
            map,
            map.release({
                formation: numberOf(order, "formation"),
                commit: numberOf(order, "commit"),
                lastStep: numberOf(order, "lastStep"),
            }),
        ),
});
