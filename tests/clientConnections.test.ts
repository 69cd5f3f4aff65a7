import { expect } from "chai";
import { type ConnectionEndCause, createClientConnections } from "../src/coordination/clientConnections.js";
import { virtualClock } from "./support/virtualClock.js";

describe("connections of clients", () => {
    const connection = (waitingSince: number | undefined, isReading = false) => {
        const ends: ConnectionEndCause[] = [];
        return {
            ends,
            waitingSince: () => waitingSince,
            isReading: () => isReading,
            end: (cause: ConnectionEndCause) => void ends.push(cause),
        };
    };

    it("give way to a new one where they have waited for their client longest, never while a request is handled", () => {
        const connections = createClientConnections(3, virtualClock());
        const [handled, idle, longIdle] = [connection(undefined), connection(200), connection(100)];
        [handled, idle, longIdle].forEach(each => expect(connections.add(each)).not.to.equal(undefined));
        expect(connections.add(connection(300))).not.to.equal(undefined);
        expect([handled, idle, longIdle].map(({ ends }) => ends)).to.deep.equal([[], [], ["crowded"]]);
    });

    it("let no new one in while requests are handled on all, until one is closed", () => {
        const connections = createClientConnections(2, virtualClock());
        const release = connections.add(connection(undefined));
        connections.add(connection(undefined));
        expect(connections.add(connection(300))).to.equal(undefined);
        release?.();
        expect(connections.add(connection(300))).not.to.equal(undefined);
    });

    it("end when the rest of a request doesn't come, not while they are idle", () => {
        const clock = virtualClock();
        const connections = createClientConnections(10, clock);
        const [idle, reading] = [connection(clock.now()), connection(clock.now(), true)];
        [idle, reading].forEach(connections.add);
        clock.advance(15_000);
        connections.endStalled();
        expect(reading.ends).to.deep.equal([]);
        clock.advance(2_001);
        connections.endStalled();
        expect([idle.ends, reading.ends]).to.deep.equal([[], ["stalled"]]);
    });
});
