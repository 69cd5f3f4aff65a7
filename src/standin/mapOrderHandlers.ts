/**
 * Handlers for the orders about expert maps to one simulated rank. Each response holds the status of the rank's map
 * and, if the order was refused, the reason.
 */
import type { OrderHandler, OrderRequest } from "./orderExecutor.js";
import type { RankMap, RankMapRefusal } from "./rankMap.js";

type Order = OrderRequest["order"];

const numberField = (order: Order, field: string): number => Number(order[field]);

const createResponseBody = (map: RankMap, refusal: RankMapRefusal | undefined): Record<string, unknown> => ({
    status: map.status(-1),
    ...(refusal === undefined ? {} : { refused: refusal }),
});

/** Creates the handlers for one rank; `loadWeights` resolves when the weights of a plan are loaded. */
export const createMapOrderHandlers = (
    map: RankMap,
    loadWeights: () => Promise<void>,
): Record<string, OrderHandler> => ({
    "prepare-map": async order => {
        const { restartCount: restarts } = map;
        await loadWeights();
        if (map.restartCount !== restarts) {
            return createResponseBody(map, "conflict");
        }
        map.loadPlan(String(order["plan"]));
        return createResponseBody(map, undefined);
    },
    "promise-map": order =>
        createResponseBody(
            map,
            map.promise({
                formation: numberField(order, "formation"),
                commit: numberField(order, "commit"),
                plan: String(order["plan"]),
                previous: numberField(order, "previous"),
                leadSteps: numberField(order, "leadSteps"),
            }),
        ),
    "release-map": order =>
        createResponseBody(
            map,
            map.release({
                formation: numberField(order, "formation"),
                commit: numberField(order, "commit"),
                lastStep: numberField(order, "lastStep"),
            }),
        ),
});
