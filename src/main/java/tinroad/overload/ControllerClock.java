package tinroad.overload;

/**
 * The controller's time: that of the latest event, in milliseconds of the server's monotonic clock.
 * Guards against events out of order: it never goes back.
 */
final class ControllerClock {
    private final double startedAtMillis;
    private double nowMillis;

    ControllerClock(double nowMillis) {
        startedAtMillis = nowMillis;
        this.nowMillis = nowMillis;
    }

    /** Moves to an event's time. Returns how long that was, in ms; 0 or less: nothing has moved. */
    double advance(double eventAtMillis) {
        double passedMillis = eventAtMillis - nowMillis;
        if (passedMillis > 0) {
            nowMillis = eventAtMillis;
        }
        return passedMillis;
    }

    double nowMillis() {
        return nowMillis;
    }

    double sinceStartMillis() {
        return nowMillis - startedAtMillis;
    }
}
