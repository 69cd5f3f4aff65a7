/**
 * Routes the requests of an entry: combines the upstream directory, the choice of an upstream, and one fair queue for
 * each model and service.
 *
 * A request starts at once if an upstream has free capacity for it and no other request is queued before it. While no
 * upstream accepts work, a new request waits only as long as a restarted daemon needs to recover, and is then refused.
 */
import type { Result } from "neverthrow";
import { type Refusal, refusal } from "../state/errors.js";
import type { Clock, Priority, RandomNumber } from "../state/types.js";
import { chooseUpstream } from "./chooseUpstream.js";
import { createFairQueue, type FairQueue, type QueueRefusal } from "./fairQueue.js";
import type { ChoiceOptions, ChosenUpstream, UpstreamChooser } from "./upstreamChooser.js";
import type { UpstreamDirectory, UpstreamView } from "./upstreamDirectory.js";

export type EntryRouter = UpstreamChooser & {
    /** Queue lengths by model or service, for the state dump. */
    queueLengths: () => Record<string, number>;
};

type EntryRouterDependencies = {
    directory: UpstreamDirectory;
    clock: Clock;
    random: RandomNumber;
    groupsOfModel: (model: string) => string[];
    /** Maximum number of requests queued at this entry for the upstreams that serve `target`. */
    queueLimit: (target: string) => number;
};

/** What the queue and the choice of an upstream need to know of a request. */
type RoutedRequest = {
    /** The model or service; identifies the queue and appears in refusals. */
    name: string;
    targets: string[];
    clientAccount: string;
    priority: Priority;
    tokens: number;
    prefix?: string;
};

/** Prompts that agree in this many leading characters are assumed to share a cached prefix. */
const affinityPrefixCharacters = 256;
const recoveryWaitMilliseconds = 1_000;
const minimumRetryAfterSeconds = 1;

const queueRefusals: Record<QueueRefusal["kind"], (name: string, retryAfterSeconds: number) => Refusal> = {
    "full": (name, retryAfterSeconds) => refusal("queue-full", [name], retryAfterSeconds),
    "too-late": (name, retryAfterSeconds) => refusal("cannot-start-in-time", [name], retryAfterSeconds),
    "cancelled": () => refusal("deadline-passed"),
};

const mayRecover = (view: UpstreamView): boolean => view.condition === "suspected" || view.condition === "down";

export const createEntryRouter = (dependencies: EntryRouterDependencies): EntryRouter => {
    const { directory, clock, random } = dependencies;
    const queues = new Map<string, FairQueue>();

    directory.onChange(() => {
        for (const queue of queues.values()) {
            if (queue.length() > 0) {
                queue.dispatch();
            }
        }
    });

    const queueOf = ({ name, targets }: RoutedRequest): FairQueue => {
        const largestQueueLimit = (): number => Math.max(0, ...targets.map(target => dependencies.queueLimit(target)));
        const queue = queues.get(name) ?? createFairQueue(clock, largestQueueLimit);
        queues.set(name, queue);
        return queue;
    };

    const beginAttempt = (view: UpstreamView, tokens: number): ChosenUpstream => {
        const { host } = view.record;
        const { lostSignal, recordTokens, end } = directory.beginRequest(host, tokens);
        return {
            upstream: view.record,
            lostSignal,
            recordTokens,
            finish: ({ failure, load }) => {
                const reportedLoad = load ?? (failure !== undefined && "load" in failure ? failure.load : undefined);
                if (failure?.kind === "unreachable" || failure?.kind === "cut") {
                    directory.observeFailure(host);
                }
                end(reportedLoad);
            },
        };
    };

    const choose = async (
        request: RoutedRequest,
        { avoidedHosts, receivedTokens, deadline }: ChoiceOptions,
        signal: AbortSignal,
    ): Promise<Result<ChosenUpstream, Refusal>> => {
        const { name, targets, clientAccount, priority, tokens, prefix } = request;
        const views = (): UpstreamView[] => targets.flatMap(target => directory.upstreams(target));
        const criteria = { avoidedHosts, ...(prefix === undefined ? {} : { prefix }) };
        const initialChoice = chooseUpstream(views(), criteria, random);
        const noneAcceptsWork = initialChoice.isErr() && initialChoice.error === "none";
        const isResumed = receivedTokens > 0;
        const maximumWaitMilliseconds = noneAcceptsWork && !isResumed
            ? (views().some(mayRecover) ? recoveryWaitMilliseconds : 0)
            : Infinity;
        const queueResult = await queueOf(request).submit<ChosenUpstream>({
            clientAccount,
            priority,
            tokens,
            isResumed,
            startDeadline: Math.min(deadline, clock.now() + maximumWaitMilliseconds),
            tryStart: () =>
                chooseUpstream(views(), criteria, random).match(
                    view => ({ kind: "done", value: beginAttempt(view, tokens) }),
                    () => ({ kind: "wait" }),
                ),
        }, signal);
        return queueResult.mapErr(({ kind, retryAfterMilliseconds }) => {
            const retryAfterSeconds = Math.max(minimumRetryAfterSeconds, Math.ceil(retryAfterMilliseconds / 1_000));
            return noneAcceptsWork && kind === "too-late"
                ? refusal("no-upstream", [name], minimumRetryAfterSeconds)
                : queueRefusals[kind](name, retryAfterSeconds);
        });
    };

    return {
        chooseForModel: (request, options, signal) =>
            choose(
                {
                    name: request.model,
                    targets: dependencies.groupsOfModel(request.model).map(group => `groups/${group}`),
                    clientAccount: request.clientAccount,
                    priority: request.priority,
                    tokens: request.maximumTokens - options.receivedTokens,
                    prefix: request.prompt.slice(0, affinityPrefixCharacters),
                },
                options,
                signal,
            ),
        chooseForService: (request, options, signal) =>
            choose(
                {
                    name: request.service,
                    targets: [`services/${request.service}`],
                    clientAccount: request.clientAccount,
                    priority: request.priority,
                    tokens: 1,
                },
                options,
                signal,
            ),
        queueLengths: () => Object.fromEntries([...queues].map(([name, queue]) => [name, queue.length()])),
    };
};
