package tinroad.overload;

import tinroad.overload.ActiveRequest.State;
import tinroad.overload.Controller.Settings;

/**
 * Tracks the runs and their use of the cores: how many run, how many are paused for calls, the
 * share of a run's time that it spends on a core, and the core time that each run has received so
 * far.
 */
final class CoreUsage {
    private final Settings settings;
    private final ControllerClock clock;
    private int running;

    /** Number of runs just before the latest event at which time had advanced. */
    private int runningBefore;

    private int paused;

    /** Core time, in ms, that a run would have received if it had run since the start. */
    private double coreMillis;

    /** Moving average of the number of runs. */
    private double meanRunning;

    /** Moving average of the number of runs that are on a core or waiting for one. */
    private double meanRunnable;

    CoreUsage(Settings settings, ControllerClock clock) {
        this.settings = settings;
        this.clock = clock;
    }

    /** Advances the core time; every run gets an equal share of the cores. */
    void advance(double elapsedMillis) {
        runningBefore = running;
        coreMillis +=
                elapsedMillis
                        * Math.min(1, settings.cores() / Math.max(1, running * onCoreShare()));
    }

    void start(ActiveRequest request) {
        request.state = State.RUNNING;
        request.started = true;
        request.startedAtCoreMillis = coreMillis;
        running++;
    }

    /** Pauses a run for a call to the dependency. */
    void pause(ActiveRequest request, double nowMillis) {
        request.state = State.CALLING;
        request.pausedAtMillis = nowMillis;
        request.pausedAtCoreMillis = coreMillis;
        running--;
        paused++;
    }

    void resume(ActiveRequest request) {
        request.state = State.RUNNING;
        request.pausedMillis += clock.nowMillis() - request.pausedAtMillis;
        request.startedAtCoreMillis += coreMillis - request.pausedAtCoreMillis;
        running++;
        paused--;
    }

    void endRun() {
        running--;
    }

    void endPause() {
        paused--;
    }

    /**
     * Records the gauge of runs that are on a core or waiting for one; a negative value or NaN
     * means that it is absent.
     */
    void measure(double runnable) {
        int runs = Math.min(running, runningBefore);
        if (runs > 0 && runnable >= 0) {
            meanRunning += Smoothing.CALM_WEIGHT * (runs - meanRunning);
            meanRunnable += Smoothing.CALM_WEIGHT * (Math.min(runnable, runs) - meanRunnable);
        }
    }

    int running() {
        return running;
    }

    int paused() {
        return paused;
    }

    int runningOrPaused() {
        return running + paused;
    }

    /** Whether at least as many requests run as there are cores. */
    boolean saturated() {
        return running >= settings.cores();
    }

    /** Core time that this request's run has received, in ms. */
    double servedMillis(ActiveRequest request) {
        return coreMillis - request.startedAtCoreMillis;
    }

    /**
     * Share of a run's time that it spends on the cores, above 0 and up to 1; the rest is waiting
     * for disk. Reads and handshakes may hide that waiting.
     */
    double onCoreShare() {
        return meanRunning > 0
                ? Math.max(
                        1 / settings.operatingLimits().maxRunsPerCore(), meanRunnable / meanRunning)
                : 1;
    }
}
