/** HTTP routes of one rank of a simulated model engine. */
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import type { Clock } from "../state/types.js";
import type { RankFaults } from "./engineRank.js";
import { createExpertLoadReport } from "./expertLoadReport.js";
import { destroyConnection, type StandinApp } from "./httpServer.js";
import type { EngineGroup, RankRuntime } from "./modelEngine.js";
import type { OrderRequest } from "./orderExecutor.js";
import { type CompletionRequest, Sequence } from "./sequence.js";

/** Body of `POST /faults`; without `rank` it applies to all ranks of the group. */
type EngineFaults = Partial<RankFaults> & { rank?: number; crash?: boolean; turnCold?: boolean; };

/** Adds the routes of the rank `runtime` to `app`. */
export const addEngineRoutes = (app: StandinApp, group: EngineGroup, runtime: RankRuntime, clock: Clock): void => {
    const { rank, cache, loadHistory, orderExecutor, map } = runtime;
    app.use(async (context, next) => {
        if (rank.down) {
            return destroyConnection(context.env);
        }
        context.header("x-engine-incarnation", rank.incarnation);
        return next();
    });
    app.post("/v1/completions", async context => {
        const request = await context.req.json<CompletionRequest>();
        const { outgoing } = context.env;
        outgoing.writeHead(200, {
            "content-type": "text/event-stream",
            "cache-control": "no-cache",
            "x-engine-incarnation": rank.incarnation,
        });
        outgoing.flushHeaders();
        const sequence = new Sequence(request, outgoing);
        if (sequence.finished) {
            sequence.end();
            return RESPONSE_ALREADY_SENT;
        }
        outgoing.on("close", () => rank.drop(sequence));
        cache.store(request.prompt);
        rank.admit(sequence);
        return RESPONSE_ALREADY_SENT;
    });
    app.post("/cancel", async context => {
        const { request_id: requestId } = await context.req.json<{ request_id: string; }>();
        return context.json({ cancelled: rank.cancel(requestId) });
    });
    app.get(
        "/load",
        context => context.json(loadHistory.sampleAt(clock.now() - rank.faults.loadLagMilliseconds) ?? {}),
    );
    app.get("/expert-map", context => context.json(map.status(orderExecutor.highestFence())));
    app.get(
        "/expert-load",
        context => context.json(createExpertLoadReport(rank.index, rank.faults.speed, group.expertShape, clock.now())),
    );
    app.post("/orders", async context => {
        const answer = await orderExecutor.execute(await context.req.json<OrderRequest>());
        return context.json(answer.body, answer.status);
    });
    app.get("/cache-events", context => {
        const from = Number(context.req.query("from") ?? 0);
        return context.json({ events: cache.eventsFrom(from) });
    });
    app.get("/record", context => {
        const from = Number(context.req.query("from") ?? 0);
        return context.json({
            step: group.step,
            formation: group.formation,
            heldMilliseconds: group.heldMilliseconds,
            steps: group.stepRecords.filter(record => record.step >= from),
            ranks: group.rankRuntimes.map(createRankRecord),
        });
    });
    app.post("/faults", async context => {
        applyFaults(group, await context.req.json<EngineFaults>());
        return context.json(group.rankRuntimes.map(runtime => runtime.rank.faults));
    });
};

/** Counters and state of one rank, for `GET /record`. */
const createRankRecord = ({ rank, orderExecutor }: RankRuntime) => ({
    rank: rank.index,
    incarnation: rank.incarnation,
    cold: rank.cold,
    running: rank.running.length,
    waiting: rank.waiting.length,
    orders: orderExecutor.executedOrders,
    ...rank.counters,
});

const applyFaults = (group: EngineGroup, faults: EngineFaults): void => {
    const { rank: selectedRank, crash, turnCold, ...rankFaults } = faults;
    for (const { rank } of group.rankRuntimes) {
        if (selectedRank !== undefined && selectedRank !== rank.index) {
            continue;
        }
        Object.assign(rank.faults, rankFaults);
        if (turnCold === true) {
            rank.turnCold();
        }
        if (crash === true) {
            rank.crash();
        }
    }
};
