package tinroad.core;

import org.slf4j.Logger;

/**
 * Tracks whether, and since when, the gateway is draining. All methods must be called on the event
 * loop.
 */
final class GracefulShutdown {
    private final double graceMillis;
    private final ControllerDriver driver;
    private final RequestTable requests;
    private final WarmStart warmStart;
    private final Clock clock;
    private final Logger log;
    private boolean draining;
    private double noticedAtMillis;
    private double shutdownAtMillis;

    /**
     * @param graceMillis for how long after the shutdown notice arrivals still count as sent before
     *     it
     */
    GracefulShutdown(
            double graceMillis,
            ControllerDriver driver,
            RequestTable requests,
            WarmStart warmStart,
            Clock clock,
            Logger log) {
        this.graceMillis = graceMillis;
        this.driver = driver;
        this.requests = requests;
        this.warmStart = warmStart;
        this.clock = clock;
        this.log = log;
    }

    boolean isDraining() {
        return draining;
    }

    /** Begins draining on a shutdown notice; returns false if an earlier notice came. */
    boolean begin(double noticeAtMillis, double endAtMillis) {
        if (draining) {
            return false;
        }
        draining = true;
        noticedAtMillis = noticeAtMillis;
        shutdownAtMillis = endAtMillis;
        warmStart.recoveryPhase().drainingBegan(noticeAtMillis);
        log.info(
                "draining: {} requests in flight, {} ms left",
                requests.size(),
                Math.round(shutdownAtMillis - clock.nowMillis()));
        if (driver.isStarted()) {
            notifyController();
        }
        return true;
    }

    void notifyController() {
        driver.dispatch(() -> driver.controller().beginDraining(noticedAtMillis, shutdownAtMillis));
    }

    /**
     * Returns the age of a request, in ms, that is reported to the controller. A request that began
     * to arrive within the grace period and was complete only after it must count as arrived after
     * it, by the rule of draining: it reached the machine with its last byte, and all that is known
     * of that time is when it was read.
     */
    double reportedAgeMillis(double nowMillis, double ageMillis) {
        double sinceGraceEndMillis = nowMillis - noticedAtMillis - graceMillis;
        return draining && sinceGraceEndMillis > 0
                ? Math.max(0, Math.min(ageMillis, sinceGraceEndMillis - 1))
                : ageMillis;
    }
}
