package tinroad.core;

import org.slf4j.Logger;

/** Whether, and since when, the gateway is draining. Owned by the event loop. */
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
     * @param graceMillis so long after the shutdown notice arrivals still count as sent before it
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

    /** The shutdown notice came; false where one came before. */
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
     * The age of a request, in ms, as the controller gets it. Guards the rule of draining against a
     * request that began to arrive within the grace and was complete only after it: it reached the
     * machine with its last byte, and all that is known of that moment is when it was read.
     */
    double reportedAgeMillis(double nowMillis, double ageMillis) {
        double overMillis = nowMillis - noticedAtMillis - graceMillis;
        return draining && overMillis > 0
                ? Math.max(0, Math.min(ageMillis, overMillis - 1))
                : ageMillis;
    }
}
