package tinroad.overload;

/**
 * The controller's time: that of the latest event, in milliseconds on the server's monotonic clock.
 * It never goes back, which guards against events that come out of order.
 */
final class ControllerClock {
    private final double startedAtMillis;
    private double nowMillis;

    ControllerClock(double nowMillis) {
        startedAtMillis = nowMillis;
        this.nowMillis = nowMillis;
    }

    /**
     * Advances to the time of an event. Returns the time that has passed in ms; at 0 or less the
     * clock stays as it is.
     */
    double advance(double eventAtMillis) {
        double elapsedMillis = eventAtMillis - nowMillis;
        if (elapsedMillis > 0) {
            nowMillis = eventAtMillis;
        }
        return elapsedMillis;
    }

    double nowMillis() {
        return nowMillis;
    }

    double sinceStartMillis() {
        return nowMillis - startedAtMillis;
    }
}
