/**
 * Orders to a stand-in engine, with or without a check of their fencing number.
 */

/** Body of `POST /orders`; `fence` is the fencing number. */
export type OrderRequest = { fence: number; order: { kind: string; [field: string]: unknown; }; };

export type OrderResponse = { status: 200 | 400 | 409; body: Record<string, unknown>; };

/** Executes one kind of order and gives the fields of its answer. */
export type OrderHandler = (order: OrderRequest["order"]) => Promise<Record<string, unknown>> | Record<string, unknown>;

export type OrderExecutor = {
    execute: (request: OrderRequest) => Promise<OrderResponse>;
    /** Orders executed so far, oldest first. */
    executedOrders: OrderRequest[];
    /** The highest fencing number seen, -1 for none. */
    highestFence: () => number;
};

/** Takes orders for the kinds in `handlers`; refuses a fencing number below an earlier one if `checksFence`. */
export const createOrderExecutor = (checksFence: boolean, handlers: Record<string, OrderHandler>): OrderExecutor => {
    const executedOrders: OrderRequest[] = [];
    let highestFence = -1;
    const execute = async (request: OrderRequest): Promise<OrderResponse> => {
        if (checksFence && request.fence < highestFence) {
            return { status: 409, body: { error: "stale-fence", highestFence } };
        }
        const handler = handlers[request.order.kind];
        if (handler === undefined) {
            return { status: 400, body: { error: `order kind "${request.order.kind}" is not known` } };
        }
        highestFence = Math.max(highestFence, request.fence);
        executedOrders.push(request);
        return { status: 200, body: await handler(request.order) };
    };
    return { execute, executedOrders: executedOrders, highestFence: () => highestFence };
};
