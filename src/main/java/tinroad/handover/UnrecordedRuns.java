package tinroad.handover;

import tinroad.core.RunClaims.Attempt;

/** Decides whether a process that recorded no claims may have submitted the run of a request. */
final class UnrecordedRuns {
    private UnrecordedRuns() {}

    /**
     * Returns whether the window of an unrecorded run may include this attempt.
     *
     * @param unrecordedBeforeMillis as described at {@link ClaimFile#unrecordedBeforeMillis}
     */
    static boolean mayInclude(long unrecordedBeforeMillis, Attempt attempt, double nowMillis) {
        return unrecordedBeforeMillis != 0
                && !attempt.isAfterWindow(
                        unrecordedBeforeMillis + attempt.windowMillis(), nowMillis);
    }
}
