package tinroad.core;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import tinroad.overload.Controller;
import tinroad.overload.Controller.Gauges;

/**
 * Hands events to the overload controller, one at a time, and its timers together with the engine's
 * gauges. An event that is caused by an action of the controller follows after the event that is
 * being handled. Owned by the event loop.
 */
final class ControllerDriver {
    /** A timer waits no longer than this, in ms, for gauges: it fires with the last ones. */
    static final double GAUGES_WAIT_MILLIS = 10;

    /** Gauges older than this, in ms, are stale: the controller gets absent values. */
    static final double GAUGES_VALID_MILLIS = 1000;

    private static final Gauges NO_GAUGES =
            new Gauges(Double.NaN, Double.NaN, Double.NaN, Double.NaN);

    private final Controller controller;
    private final Clock clock;
    private final Timers timers;
    private final Engine engine;
    private final Logger log;

    /** Events that an action caused, to be handled after the current one. */
    private final ArrayDeque<Runnable> followUps = new ArrayDeque<>();

    /** Tokens of the timers that wait for gauges, by the tag of the request for them. */
    private final Map<String, String> timersAwaitingGauges = new HashMap<>();

    private long lastGaugesTag;
    private Gauges lastGauges = NO_GAUGES;
    private double lastGaugesAtMillis = Double.NEGATIVE_INFINITY;
    private boolean handling;
    private boolean started;

    ControllerDriver(Controller controller, Clock clock, Timers timers, Engine engine, Logger log) {
        this.controller = controller;
        this.clock = clock;
        this.timers = timers;
        this.engine = engine;
        this.log = log;
    }

    /** The controller; its event methods are called from within {@link #dispatch} only. */
    Controller controller() {
        return controller;
    }

    /** Whether the controller has been started, as the engine has been attached once. */
    boolean isStarted() {
        return started;
    }

    void markStarted() {
        started = true;
    }

    /**
     * Hands the controller one event. Guards against a failure of the decision code: the gateway
     * goes on without that event.
     */
    void dispatch(Runnable event) {
        if (handling) {
            followUps.add(event);
            return;
        }
        handling = true;
        try {
            for (Runnable next = event; next != null; next = followUps.poll()) {
                try {
                    next.run();
                } catch (RuntimeException e) {
                    log.error("controller failed", e);
                }
            }
        } finally {
            // Guards against an Error, such as direct memory used up: without this no further
            // event would be handled.
            handling = false;
        }
    }

    /** The same; returns whether the event was handled without a failure. */
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
        // First: guards the controller's timers, each of which sets the next, against gauges that
        // can't be requested.
        timers.after(GAUGES_WAIT_MILLIS, () -> fireTimer(tag));
        if (!engine.requestGauges(tag)) {
            fireTimer(tag);
        }
    }

    void onGauges(String tag, Gauges gauges) {
        lastGauges = gauges;
        lastGaugesAtMillis = clock.nowMillis();
        fireTimer(tag);
    }

    /** A timer fires once: with the gauges requested for it, or without them once they are late. */
    private void fireTimer(String tag) {
        String token = timersAwaitingGauges.remove(tag);
        if (token != null) {
            double nowMillis = clock.nowMillis();
            Gauges gauges =
                    nowMillis - lastGaugesAtMillis <= GAUGES_VALID_MILLIS ? lastGauges : NO_GAUGES;
            dispatch(() -> controller.timerFired(nowMillis, token, gauges));
        }
    }
}
