/**
 * Routing at an entry: the directory, the choice and one fair queue for each model and service, put together.
 *
 * A request starts at once if an upstream has a free place for it and none waits before it. If no upstream takes work at
 * all, a new request waits only as long as a restarted daemon needs to come back, and then is refused.
 */
import type { Result } from "neverthrow";
import { type Refusal, refusal } from "../state/errors.js";
import type { Clock, Priority, RandomNumber } from "../state/types.js";
import { chooseUpstream } from "./chooseUpstream.js";
import { createFairQueue, type FairQueue, type QueueRefusal } from "./fairQueue.js";
import type { Choice, ChoiceOptions, UpstreamChooser } from "./upstreamChooser.js";
import type { UpstreamDirectory, UpstreamView } from "./upstreamDirectory.js";

export type EntryRouting = UpstreamChooser & {
    /** Waiting requests by model or service, for the dump. */
    queueLengths: () => Record<string, number>;
};

type RoutingTools = {
    directory: UpstreamDirectory;
    clock: Clock;
    random: RandomNumber;
    groupsOfModel: (model: string) => string[];
    /** Requests that may wait at this entry for the upstreams that serve `target`. */
    queueLimit: (target: string) => number;
};

/** One request as the queue and the choice see it. */
type Demand = {
    /** The model or service, for messages. */
    name: string;
    targets: string[];
    clientAccount: string;
    priority: Priority;
    tokens: number;
    prefix?: string;
};

/** Requests whose prompts begin alike are taken to share a cached prefix. */
const prefixCharacters = 256;
const recoveryMilliseconds = 1_000;
const shortestRetryAfterSeconds = 1;

const queueRefusals: Record<QueueRefusal["kind"], (name: string, retryAfterSeconds: number) => Refusal> = {
    "full": (name, retryAfterSeconds) => refusal("queue-full", [name], retryAfterSeconds),
    "too-late": (name, retryAfterSeconds) => refusal("cannot-start-in-time", [name], retryAfterSeconds),
    "cancelled": () => refusal("deadline-passed"),
};

const mayComeBack = (view: UpstreamView): boolean => view.condition === "suspected" || view.condition === "down";

export const createEntryRouting = (tools: RoutingTools): EntryRouting => {
    const { directory, clock, random } = tools;
    const queues = new Map<string, FairQueue>();

    directory.onChange(() => {
        for (const queue of queues.values()) {
            if (queue.length() > 0) {
                queue.pump();
            }
        }
    });

    const queueOf = ({ name, targets }: Demand): FairQueue => {
        const largest = (): number => Math.max(0, ...targets.map(target => tools.queueLimit(target)));
        const queue = queues.get(name) ?? createFairQueue(clock, largest);
        queues.set(name, queue);
        return queue;
    };

    const begin = (view: UpstreamView, tokens: number): Choice => {
        const { host } = view.record;
        const { lost, progress, end } = directory.begin(host, tokens);
        return {
            upstream: view.record,
            lost,
            progress,
            finish: ({ failure, load }) => {
                const reported = load ?? (failure !== undefined && "load" in failure ? failure.load : undefined);
                if (failure?.kind === "unreachable" || failure?.kind === "cut") {
                    directory.observeFailure(host);
                }
                end(reported);
            },
        };
    };

    const choose = async (
        demand: Demand,
        { avoided, received, deadline }: ChoiceOptions,
        signal: AbortSignal,
    ): Promise<Result<Choice, Refusal>> => {
        const { name, targets, clientAccount, priority, tokens, prefix } = demand;
        const views = (): UpstreamView[] => targets.flatMap(target => directory.upstreams(target));
        const request = { avoided, ...(prefix === undefined ? {} : { prefix }) };
        const first = chooseUpstream(views(), request, random);
        const noneTakesWork = first.isErr() && first.error === "none";
        const resumed = received > 0;
        const wait = noneTakesWork && !resumed ? (views().some(mayComeBack) ? recoveryMilliseconds : 0) : Infinity;
        const started = await queueOf(demand).enter<Choice>({
            clientAccount,
            priority,
            tokens,
            resumed,
            startBy: Math.min(deadline, clock.now() + wait),
            tryStart: () =>
                chooseUpstream(views(), request, random).match(
                    view => ({ kind: "done", value: begin(view, tokens) }),
                    () => ({ kind: "wait" }),
                ),
        }, signal);
        return started.mapErr(({ kind, retryAfterMilliseconds }) => {
            const retryAfterSeconds = Math.max(shortestRetryAfterSeconds, Math.ceil(retryAfterMilliseconds / 1_000));
            return noneTakesWork && kind === "too-late"
                ? refusal("no-upstream", [name], shortestRetryAfterSeconds)
                : queueRefusals[kind](name, retryAfterSeconds);
        });
    };

    return {
        chooseForModel: (work, options, signal) =>
            choose(
                {
                    name: work.model,
                    targets: tools.groupsOfModel(work.model).map(group => `groups/${group}`),
                    clientAccount: work.clientAccount,
                    priority: work.priority,
                    tokens: work.maximumTokens - options.received,
                    prefix: work.prompt.slice(0, prefixCharacters),
                },
                options,
                signal,
            ),
        chooseForService: (work, options, signal) =>
            choose(
                {
                    name: work.service,
                    targets: [`services/${work.service}`],
                    clientAccount: work.clientAccount,
                    priority: work.priority,
                    tokens: 1,
                },
                options,
                signal,
            ),
        queueLengths: () => Object.fromEntries([...queues].map(([name, queue]) => [name, queue.length()])),
    };
};
