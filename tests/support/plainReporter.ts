/**
 * Mocha's spec reporter, followed by a summary line `N passed, N failed`, with `, N skipped` if tests were skipped.
 */
import Mocha from "mocha";

export default class PlainReporter extends Mocha.reporters.Spec {
    override done(failures: number, finish: (failures: number) => void): void {
        const { passes = 0, pending = 0 } = this.stats;
        const skipped = pending > 0 ? `, ${pending} skipped` : "";
        console.log(`${passes} passed, ${failures} failed${skipped}`);
        finish(failures);
    }
}
