/**
 * Executes the orders to a simulated engine, with or without a check of their fencing token.
 */

/** Body of `POST /orders`; `fence` is the fencing token. */
export type OrderRequest = { fence: number; order: { kind: string; [field: string]: unknown; }; };

export type OrderResponse = { status: 200 | 400 | 409; body: Record<string, unknown>; };

/** Executes one kind of order and returns the fields of the response. */
export type OrderHandler = (order: OrderRequest["order"]) => Promise<Record<string, unknown>> | Record<string, unknown>;

export type OrderExecutor = {
    execute: (request: OrderRequest) => Promise<OrderResponse>;
    /** Executed orders, oldest first. */
    executedOrders: OrderRequest[];
    /** Highest fencing token of the executed orders, -1 for none. */
    highestFence: () => number;
};

/** Creates an executor for the kinds in `handlers`; `checksFence` makes it refuse tokens below an earlier one. */
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
