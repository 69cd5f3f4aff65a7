/** HTTP routes of one rank of a stand-in engine. */
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import type { Clock } from "../state/types.js";
import type { RankFaults } from "./engineRank.js";
import { expertLoadReport } from "./expertCounts.js";
import { cutConnection, type StandinApp } from "./httpServer.js";
import type { EngineGroup, RankSeat } from "./modelEngine.js";
import type { OrderRequest } from "./orders.js";
import { type CompletionRequest, Sequence } from "./sequence.js";

/** Body of `POST /faults`; without `rank` it holds for the whole group. */
type EngineFaults = Partial<RankFaults> & { rank?: number; crash?: boolean; turnCold?: boolean; };

/** Adds the routes of `seat` to `app`. */
export const addEngineRoutes = (app: StandinApp, group: EngineGroup, seat: RankSeat, clock: Clock): void => {
    const { rank, cache, loads, orders, map } = seat;
    app.use(async (context, next) => {
        if (rank.down) {
            return cutConnection(context.env);
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
    app.get("/load", context => context.json(loads.at(clock.now() - rank.faults.loadLagMilliseconds) ?? {}));
    app.get("/expert-map", context => context.json(map.status(orders.highestFence())));
    app.get(
        "/expert-load",
        context => context.json(expertLoadReport(rank.rank, rank.faults.speed, group.expertShape, clock.now())),
    );
    app.post("/orders", async context => {
        const answer = await orders.execute(await context.req.json<OrderRequest>());
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
            steps: group.steps.filter(record => record.step >= from),
            ranks: group.seats.map(recordOf),
        });
    });
    app.post("/faults", async context => {
        applyFaults(group, await context.req.json<EngineFaults>());
        return context.json(group.seats.map(other => other.rank.faults));
    });
};

/** Counters and state of one rank, for `GET /record`. */
const recordOf = ({ rank, orders }: RankSeat) => ({
    rank: rank.rank,
    incarnation: rank.incarnation,
    cold: rank.cold,
    running: rank.running.length,
    waiting: rank.waiting.length,
    orders: orders.executed,
    ...rank.counters,
});

const applyFaults = (group: EngineGroup, faults: EngineFaults): void => {
    const { rank: chosen, crash, turnCold, ...rankFaults } = faults;
    for (const { rank } of group.seats) {
        if (chosen !== undefined && chosen !== rank.rank) {
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
