/**
 * Servers of several services that end their answers in every way that HTTP allows, break some off, are killed and come back,
 * drain and leave, all by seed.
 */
import type { Socket } from "node:net";
import { headerNames, topics } from "../../platform/names.js";
import type { KeyedStore } from "../../src/standin/keyedStore.js";
import type { RandomNumber } from "../../src/state/types.js";
import {
    type AnswerEnd,
    type AnswerPlan,
    choose,
    cutSome,
    planAnswer,
    writeAnswer,
    type WrittenAnswer,
} from "./answerForms.js";
import { renderEvents } from "./eventStreams.js";
import { namedRandom } from "./random.js";
import { answer, type ScriptedRequest, type ScriptedServer, startScriptedServer } from "./scriptedServer.js";
import { parseRequestId } from "./soakRequests.js";

/** One run of a request at a server. */
export type ServerRun = {
    requestId: string;
    serverId: string;
    lastEventId: number;
    answer: WrittenAnswer;
    plan: AnswerPlan;
    /** Undefined while the server writes. */
    end: AnswerEnd | undefined;
    ended: Promise<void>;
};

export type VariedServers = {
    runs: ServerRun[];
    /** Kills servers, which come back, and lets others drain and leave, until `isOver`. */
    disturb: (isOver: () => boolean) => Promise<void>;
    close: () => Promise<void>;
};

export type VariedServersOptions = {
    seed: number;
    store: KeyedStore;
    services: string[];
    serversPerService: number;
    /** Share of the answers that servers break off. */
    brokenShare: number;
};

type ListedServer = { server: ScriptedServer; service: string; };

const drainMilliseconds = 2_000;
const pause = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds));

export const startVariedServers = async (options: VariedServersOptions): Promise<VariedServers> => {
    const { seed, store, services, serversPerService, brokenShare } = options;
    const runs: ServerRun[] = [];
    const running: ListedServer[] = [];
    let startCount = 0;

    const composeAnswer = (
        { requestId, lastEventId }: ScriptedRequest,
        serverId: string,
        random: RandomNumber,
    ): WrittenAnswer => {
        const { events } = parseRequestId(requestId);
        if (events > 0) {
            const style = namedRandom(`${seed} style of ${requestId}`);
            const pieces = cutSome(renderEvents(requestId, events, lastEventId, style), random);
            return { requestId, status: 200, contentType: "text/event-stream", pieces };
        }
        const isEmpty = random() < 0.15;
        const text = `answer of ${serverId} to ${requestId} ${"x".repeat(random() < 0.05 ? 90_000 : random() * 900)}`;
        const pieces = isEmpty ? [] : cutSome([text.slice(0, 20), text.slice(20)], random);
        return { requestId, status: isEmpty && random() < 0.5 ? 204 : 200, contentType: "text/plain", pieces };
    };

    const run = (serverId: string, socket: Socket, request: ScriptedRequest): void => {
        const { requestId, lastEventId, targetId } = request;
        if (targetId !== serverId) {
            socket.write(
                answer(421, requestId, "", { [headerNames.notRun]: "1", [headerNames.responseSeal]: undefined }),
            );
            return;
        }
        const attempt = runs.filter(run => run.requestId === requestId).length;
        const random = namedRandom(`${seed} ${requestId} ${attempt}`);
        const written = composeAnswer(request, serverId, random);
        const plan = planAnswer(written, brokenShare, random);
        const begun: ServerRun = {
            requestId,
            serverId,
            lastEventId,
            answer: written,
            plan,
            end: undefined,
            ended: writeAnswer(socket, written, plan).then(end => {
                begun.end ??= end;
            }),
        };
        runs.push(begun);
    };

    const list = ({ server, service }: ListedServer, state: string): void =>
        store.put(topics.upstreams, server.id, {
            service,
            address: server.address,
            zone: "medina",
            slots: 100,
            state,
            seq: 1,
            coldLeftMs: 0,
            born: 1_700_000_000_000 + startCount,
        });

    const start = async (service: string, port = 0): Promise<ListedServer> => {
        startCount += 1;
        const id = `i-${startCount}`;
        const server = await startScriptedServer(
            id,
            { onRequest: (socket, request) => run(id, socket, request) },
            port,
        );
        const listed = { server, service };
        running.push(listed);
        list(listed, "ready");
        return listed;
    };

    const runsAt = (serverId: string): ServerRun[] => runs.filter(run => run.serverId === serverId);

    const takeOut = (listed: ListedServer): void => void running.splice(running.indexOf(listed), 1);

    const kill = async (listed: ListedServer, downMilliseconds: number): Promise<void> => {
        takeOut(listed);
        for (const run of runsAt(listed.server.id)) {
            run.end ??= "broken";
        }
        await listed.server.close();
        await pause(downMilliseconds);
        store.put(topics.upstreams, listed.server.id, undefined);
        await start(listed.service, Number(listed.server.address.split(":")[1]));
    };

    /** Stops listening before its last answers are written. */
    const leave = async (listed: ListedServer): Promise<void> => {
        takeOut(listed);
        await start(listed.service);
        list(listed, "draining");
        await pause(drainMilliseconds);
        listed.server.stopListening();
        store.put(topics.upstreams, listed.server.id, undefined);
        await Promise.all(runsAt(listed.server.id).map(({ ended }) => ended));
        await listed.server.close();
    };

    for (const service of services) {
        for (let index = 0; index < serversPerService; index += 1) {
            await start(service);
        }
    }

    return {
        runs,
        disturb: async isOver => {
            const random = namedRandom(`${seed} servers`);
            const leaving: Promise<void>[] = [];
            while (!isOver()) {
                await pause(300 + random() * 2_000);
                const listed = choose(running, random);
                if (random() < 0.5) {
                    await kill(listed, 300 + random() * 700);
                }
                else {
                    leaving.push(leave(listed));
                }
            }
            await Promise.all(leaving);
        },
        close: async () => {
            await Promise.all(running.splice(0).map(({ server }) => server.close()));
        },
    };
};
