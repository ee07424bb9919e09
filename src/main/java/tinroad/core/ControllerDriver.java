package tinroad.core;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import tinroad.overload.Controller;
import tinroad.overload.Controller.Gauges;

/**
 * Passes events to the overload controller one at a time, and its timers together with the engine's
 * gauges. An event that an action of the controller causes is passed on after the event that is
 * being handled. All methods must be called on the event loop.
 */
final class ControllerDriver {
    /**
     * The maximum time, in ms, that a timer waits for gauges. After that it fires with the last
     * ones.
     */
    static final double MAX_GAUGES_WAIT_MILLIS = 10;

    /** Gauges older than this, in ms, are stale, and the controller gets absent values instead. */
    static final double MAX_GAUGES_AGE_MILLIS = 1000;

    private static final Gauges NO_GAUGES =
            new Gauges(Double.NaN, Double.NaN, Double.NaN, Double.NaN);

    private final Controller controller;
    private final Clock clock;
    private final Timers timers;
    private final Engine engine;
    private final Logger log;

    /** Events that an action caused, to be handled after the current event. */
    private final ArrayDeque<Runnable> deferredEvents = new ArrayDeque<>();

    /** Tokens of the timers that wait for gauges, by the tag of the request for the gauges. */
    private final Map<String, String> timersAwaitingGauges = new HashMap<>();

    private long lastGaugesTag;
    private Gauges lastGauges = NO_GAUGES;
    private double lastGaugesAtMillis = Double.NEGATIVE_INFINITY;
    private boolean dispatching;
    private boolean started;

    ControllerDriver(Controller controller, Clock clock, Timers timers, Engine engine, Logger log) {
        this.controller = controller;
        this.clock = clock;
        this.timers = timers;
        this.engine = engine;
        this.log = log;
    }

    /**
     * Returns the controller. Its event methods may be called from within {@link #dispatch} only.
     */
    Controller controller() {
        return controller;
    }

    /**
     * Returns whether the controller has been started, which happens when the engine is attached
     * for the first time.
     */
    boolean isStarted() {
        return started;
    }

    void markStarted() {
        started = true;
    }

    /**
     * Passes one event to the controller. If the decision code fails, the gateway continues without
     * that event.
     */
    void dispatch(Runnable event) {
        if (dispatching) {
            deferredEvents.add(event);
            return;
        }
        dispatching = true;
        try {
            for (Runnable next = event; next != null; next = deferredEvents.poll()) {
                try {
                    next.run();
                } catch (RuntimeException e) {
                    log.error("controller failed", e);
                }
            }
        } finally {
            // An Error, such as exhausted direct memory, leaves this method: without this reset no
            // further event would be handled.
            dispatching = false;
        }
    }

    /**
     * Passes one event to the controller like {@link #dispatch}, and returns whether it was handled
     * without a failure.
     */
    boolean tryDispatch(Runnable event) {
        boolean[] succeeded = {false};
        dispatch(
                () -> {
                    event.run();
                    succeeded[0] = true;
                });
        return succeeded[0];
    }

    void scheduleTimer(String token, double delayMillis) {
        timers.after(delayMillis, () -> requestGaugesFor(token));
    }

    private void requestGaugesFor(String token) {
        String tag = Long.toString(++lastGaugesTag);
        timersAwaitingGauges.put(tag, token);
        // The timeout is set first: each timer of the controller sets the next one, so it has to
        // fire even if the gauges can't be requested.
        timers.after(MAX_GAUGES_WAIT_MILLIS, () -> fireTimer(tag));
        if (!engine.requestGauges(tag)) {
            fireTimer(tag);
        }
    }

    void onGauges(String tag, Gauges gauges) {
        lastGauges = gauges;
        lastGaugesAtMillis = clock.nowMillis();
        fireTimer(tag);
    }

    /** Fires a timer once: when its gauges have arrived or, without them, when they are late. */
    private void fireTimer(String tag) {
        String token = timersAwaitingGauges.remove(tag);
        if (token != null) {
            double nowMillis = clock.nowMillis();
            Gauges gauges =
                    nowMillis - lastGaugesAtMillis <= MAX_GAUGES_AGE_MILLIS
                            ? lastGauges
                            : NO_GAUGES;
            dispatch(() -> controller.timerFired(nowMillis, token, gauges));
        }
    }
}
