package tinroad.core;

import org.slf4j.Logger;
import tinroad.overload.Controller.Settings;

/**
 * What the state of the engine link means for the requests in flight: starts the controller when
 * the engine is there for the first time, and sends again what may have been lost with an earlier
 * link. Owned by the event loop.
 */
final class EngineRecovery {
    /** Two readings of the engine's start that lie this near, in ms, are of one start. */
    static final double SAME_START_MILLIS = 1000;

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
     * The engine was started since the link before: it knows none of the runs that were sent to it
     * earlier.
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

    void attached(boolean fresh, double startedMillisAgo) {
        double startedAtMillis = clock.nowMillis() - startedMillisAgo;
        engineRestarted =
                driver.isStarted() && startedAtMillis > engineStartedAtMillis + SAME_START_MILLIS;
        engineStartedAtMillis = startedAtMillis;
        if (driver.isStarted()) {
            resume(startedMillisAgo);
        } else {
            startController(fresh, startedMillisAgo);
        }
    }

    private void startController(boolean fresh, double startedMillisAgo) {
        catalogActivation.beforeControllerStart();
        driver.markStarted();
        log.info(
                "engine attached: {} process, up for {} ms",
                fresh ? "new" : "running",
                Math.round(startedMillisAgo));
        guard.start();
        warmStart.recoveryPhase().engineAttached(clock.nowMillis(), fresh);
        driver.dispatch(
                () -> {
                    driver.controller().start(clock.nowMillis(), seed, settings);
                    // First: restored statistics are of the classes that the controller starts
                    // with.
                    warmStart.restoreController(fresh);
                    catalogActivation.applyEarlyChanges();
                });
        // Guards against a shutdown notice that came before the engine: the controller has to know
        // it too.
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
        // A copy: guards against an endless loop where the link breaks again and each request is
        // queued anew.
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
     * Sends run commands again that may have been lost with an earlier link. Guards against a lost
     * run that keeps its capacity, and its client waiting, until the deadline. Safe for every
     * class, as {@link Engine#run} says; what the engine still had to report of earlier links was
     * read before, so hardly anything but lost and running requests is sent again. Guards against
     * an engine that was restarted, which knows no earlier run: to it nothing is sent again.
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
