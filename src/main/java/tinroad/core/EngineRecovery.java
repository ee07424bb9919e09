package tinroad.core;

import org.slf4j.Logger;
import tinroad.overload.Controller.Settings;

/**
 * Applies changes of the engine link's state to the requests in flight: starts the controller when
 * the engine is attached for the first time, and sends run commands again that may have been lost
 * with an earlier link. All methods must be called on the event loop.
 */
final class EngineRecovery {
    /**
     * Two readings of the engine's start time that differ by at most this, in ms, are of one start.
     */
    static final double SAME_START_TOLERANCE_MILLIS = 1000;

    private final Settings settings;
    private final long seed;
    private final Engine engine;
    private final Clock clock;
    private final ControllerDriver driver;
    private final RequestTable requests;
    private final RequestLifecycle lifecycle;
    private final DeadlineGuard guard;
    private final CatalogActivation catalogActivation;
    private final WarmStart warmStart;
    private final GracefulShutdown shutdown;
    private final Logger log;
    private double engineStartedAtMillis;

    /**
     * Whether the engine was restarted since the previous link, in which case it knows none of the
     * runs that were sent to it earlier.
     */
    private boolean engineRestarted;

    EngineRecovery(
            Settings settings,
            long seed,
            Engine engine,
            Clock clock,
            ControllerDriver driver,
            RequestTable requests,
            RequestLifecycle lifecycle,
            DeadlineGuard guard,
            CatalogActivation catalogActivation,
            WarmStart warmStart,
            GracefulShutdown shutdown,
            Logger log) {
        this.settings = settings;
        this.seed = seed;
        this.engine = engine;
        this.clock = clock;
        this.driver = driver;
        this.requests = requests;
        this.lifecycle = lifecycle;
        this.guard = guard;
        this.catalogActivation = catalogActivation;
        this.warmStart = warmStart;
        this.shutdown = shutdown;
        this.log = log;
    }

    void attached(boolean newProcess, double startedMillisAgo) {
        double startedAtMillis = clock.nowMillis() - startedMillisAgo;
        engineRestarted =
                driver.isStarted()
                        && startedAtMillis > engineStartedAtMillis + SAME_START_TOLERANCE_MILLIS;
        engineStartedAtMillis = startedAtMillis;
        if (driver.isStarted()) {
            resume(startedMillisAgo);
        } else {
            startController(newProcess, startedMillisAgo);
        }
    }

    private void startController(boolean newProcess, double startedMillisAgo) {
        catalogActivation.beforeControllerStart();
        driver.markStarted();
        log.info(
                "engine attached: {} process, up for {} ms",
                newProcess ? "new" : "running",
                Math.round(startedMillisAgo));
        guard.start();
        warmStart.recoveryPhase().engineAttached(clock.nowMillis(), newProcess);
        driver.dispatch(
                () -> {
                    driver.controller().start(clock.nowMillis(), seed, settings);
                    // Restored statistics are passed first, because they are of the classes that
                    // the controller starts with.
                    warmStart.restoreController(newProcess);
                    catalogActivation.applyEarlyChanges();
                });
        // A shutdown notice may have come before the engine was attached; the controller has to be
        // notified of it, too.
        if (shutdown.isDraining()) {
            shutdown.notifyController();
        }
    }

    private void resume(double startedMillisAgo) {
        log.info(
                "engine attached again{}",
                engineRestarted
                        ? ": new process, up for " + Math.round(startedMillisAgo) + " ms"
                        : "");
        warmStart.recoveryPhase().engineAttached(clock.nowMillis(), engineRestarted);
        markSentOnLostLink();
        // The loop runs over a copy: if the link breaks again, each request is added to the queue
        // anew, and a loop over the queue itself would never end.
        requests.drainAwaitingLink().forEach(lifecycle::submit);
    }

    void detached() {
        log.warn("engine link lost: {} requests in flight", requests.size());
        markSentOnLostLink();
    }

    private void markSentOnLostLink() {
        requests.all()
                .forEach(request -> request.sentOnLostLink |= request.progress == Progress.SENT);
    }

    /**
     * Sends run commands again that may have been lost with an earlier link. A lost run would
     * otherwise occupy its capacity, and leave its client waiting, until the deadline. This is safe
     * for every class, as described at {@link Engine#run}. What the engine still had to report of
     * earlier links was read before, so hardly any but lost and running requests are sent again.
     * Nothing is sent again to an engine that was restarted, because it knows no earlier run.
     */
    void caughtUp() {
        if (engineRestarted) {
            return;
        }
        for (ActiveRequest request : requests.snapshot()) {
            if (request.sentOnLostLink
                    && !request.answered
                    && engine.run(request.id, request.className(), request.body) == Progress.SENT) {
                request.sentOnLostLink = false;
            }
        }
    }
}
