/**
 * Plays a request that crashes each server that runs it and that its client sends again and again, beside bookings of other
 * callers, and checks that, later than `stableWindowMs` after it has crashed the third server, it reaches servers in no more
 * than three retries.
 */
import { randomUUID } from "node:crypto";
import { sendRequest, startTraffic } from "./client.mjs";
import { bounds, heartbeatMilliseconds, sleep } from "./deployment.mjs";

const host = "portal.example";
const serverCount = 8;
const serverBackMilliseconds = 2_500;
const retryMilliseconds = 2_000;
const retries = 20;
const bookingMilliseconds = 300;
const bookingsPerSecond = 10;
const crashesUntilKnown = 3;
const retriesAllowed = 3;

/**
 * `request` has the `path`, `headers` and `deadline` of the request; `crashMilliseconds` is how long a server runs it before it
 * crashes, undefined if it doesn't crash servers.
 */
export const playDeadlyRequest = async (
    { deployment, store, record, route, request, stream = {}, crashMilliseconds },
) => {
    const isDisrupted = crashMilliseconds !== undefined;
    const routes = [
        route,
        {
            name: "publish",
            pathPrefix: "/datasets/",
            kind: "non_idempotent",
            timeoutMs: 1_000,
            goalMs: 500,
            attempts: 1,
        },
    ];
    store.write("keyed.op", "config", {
        version: 1,
        routes: routes.map(route => ({ ...route, host, priority: 1, service: "portal" })),
        services: [{ name: "portal", healthPath: "/healthz", coldPerS: 36 }],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        tenants: [{ name: "fes", apiKeys: ["portal-key"] }],
    });
    const deadlyIds = new Set();
    const deadlyReached = [];
    const crashes = [];
    const reachedBy = new Map();
    let isOver = false;
    let started = 0;

    const startServer = () => {
        started += 1;
        const id = `portal-${started}`;
        const child = deployment.startServer({
            id,
            service: "portal",
            zone: "medina",
            slots: 8,
            store: store.address,
            heartbeatMilliseconds,
            workMilliseconds: bookingMilliseconds,
            ...stream,
        }, ({ kind, at, ...details }) => {
            record.add(`server ${kind}`, details, at);
            if (kind === "reached") {
                reachedBy.set(details.requestId, id);
                if (deadlyIds.has(details.requestId)) {
                    deadlyReached.push({ at, ...details });
                }
            }
        });
        child.once("exit", () => {
            if (!isOver) {
                crashes.push(Date.now());
                record.add("server crashed", { id });
                setTimeout(() => isOver || startServer(), serverBackMilliseconds);
            }
        });
    };
    for (let index = 0; index < serverCount; index += 1) {
        startServer();
    }
    const entries = await Promise.all([
        deployment.startEntry("entry-1", "medina", store.address),
        deployment.startEntry("entry-2", "medina", store.address),
    ]);
    await sleep(3_000);

    const bookings = [];
    let sent = 0;
    const stopTraffic = startTraffic(bookingsPerSecond, () => {
        const entry = entries[sent % entries.length];
        sent += 1;
        const requestId = randomUUID();
        bookings.push(
            sendRequest({
                address: entry.address,
                host,
                path: "/datasets/budget",
                requestId,
                key: "portal-key",
                body: JSON.stringify({ title: requestId }),
                deadline: 1_000,
            }).then(answer => {
                record.add("client got", { requestId, status: answer.status, isWhole: answer.isWhole }, answer.endedAt);
                return answer;
            }),
        );
    });

    const body = JSON.stringify({
        prompt: "summarise the budget table",
        ...(isDisrupted ? { crash: crashMilliseconds } : {}),
    });
    const attempts = [];
    for (let retry = 0; retry < retries; retry += 1) {
        const requestId = randomUUID();
        deadlyIds.add(requestId);
        record.add("client sends the request again", { requestId, entry: entries[retry % entries.length].name });
        const answer = sendRequest({
            address: entries[retry % entries.length].address,
            host,
            requestId,
            key: "portal-key",
            body,
            ...request,
        });
        attempts.push(answer);
        const [{ status, isWhole, body: text, endedAt }] = await Promise.all([answer, sleep(retryMilliseconds)]);
        const events = text.split("data:").length - 1;
        record.add("client got", { requestId, status, isWhole, events }, endedAt);
    }
    await sleep(1_000);
    stopTraffic();
    isOver = true;
    const answered = await Promise.all(bookings);

    const knownAt = (crashes.sort((left, right) => left - right)[crashesUntilKnown - 1] ?? Infinity)
        + bounds.stableWindowMs;
    const sentAt = new Map((await Promise.all(attempts)).map(answer => [answer.requestId, answer.sentAt]));
    const late = new Set(
        deadlyReached.filter(({ requestId, at }) => at > knownAt && sentAt.get(requestId) > knownAt)
            .map(({ requestId }) => requestId),
    );
    const lost = answered.filter(({ requestId, status, sentAt: at }) =>
        status !== 200 && at > knownAt && reachedBy.has(requestId)
    );
    const summary = [
        `attempts of the client with the request: ${retries}; times that it reached a server: ${deadlyReached.length}`,
        `servers that crashed: ${crashes.length}`,
        `retries that reached servers later than ${bounds.stableWindowMs} ms after the third crash: ${late.size} `
        + `(${retriesAllowed} are allowed)`,
        `bookings of other callers: ${answered.length}; passed on to a server after that and ended without a success: `
        + `${lost.length}`,
    ];
    if (deadlyReached.length === 0 || isDisrupted && crashes.length === 0) {
        return { code: 2, summary: [...summary, "could not run: the request reached no server"] };
    }
    return late.size > retriesAllowed
        ? { code: 1, summary: [...summary, "BUDGET is broken"] }
        : { code: 0, summary: [...summary, "BUDGET holds"] };
};
