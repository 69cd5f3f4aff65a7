/**
 * Rules of the map switch: which commit a rank promises, and at which step all ranks switch. A mistake in either lets a
 * step run on two maps.
 */
import { expect } from "chai";
import { commitToPromise, lastStepBeforeSwitch } from "../src/coordination/promiseRules.js";
import { initialCommit, type MapPromise, noCommit, type RankMapStatus } from "../src/state/mapPromise.js";

const promise = (rank: number, commit: number, last: number, previous = initialCommit, formation = 1): MapPromise => ({
    rank,
    commit,
    formation,
    last,
    previous,
});

const status = (released: number, promises: MapPromise[]): RankMapStatus => ({
    rank: 0,
    formation: 1,
    step: 5,
    released,
    promises,
    loaded: [],
    fence: -1,
});

describe("promise rules", () => {
    it("promise a newer commit once the last one is released", () => {
        expect(commitToPromise(status(initialCommit, [promise(0, initialCommit, 0, noCommit)]), 4, [])).to.equal(4);
    });

    it("promise the newest known commit first in a new formation", () => {
        expect(commitToPromise(status(noCommit, []), initialCommit, [])).to.equal(initialCommit);
        expect(commitToPromise(status(noCommit, []), 7, [])).to.equal(7);
    });

    it("keep a pending promise until a peer proves that it never promised that commit", () => {
        const pending = status(initialCommit, [promise(0, 4, 8)]);
        expect(commitToPromise(pending, 6, [])).to.equal(undefined);
        expect(commitToPromise(pending, 6, [promise(1, 6, 9, 4)])).to.equal(undefined);
        expect(commitToPromise(pending, 6, [promise(1, 6, 9, initialCommit)])).to.equal(6);
        expect(commitToPromise(pending, 6, [promise(1, 6, 9, initialCommit, 2)])).to.equal(undefined);
    });

    it("switch after the largest promised step, once every rank of the formation has promised", () => {
        const promises = [promise(0, 4, 8), promise(1, 4, 11)];
        expect(lastStepBeforeSwitch(4, 1, 3, promises)).to.equal(undefined);
        expect(lastStepBeforeSwitch(4, 1, 3, [...promises, promise(2, 4, 9, initialCommit, 2)])).to.equal(undefined);
        expect(lastStepBeforeSwitch(4, 1, 3, [...promises, promise(2, 4, 9)])).to.equal(11);
    });
});
