package tinroad.overload;

import tinroad.overload.ActiveRequest.State;
import tinroad.overload.Controller.Settings;

/**
 * The runs and what they get of the cores: how many run, how many are paused for calls, the part of
 * a run that is spent on a core, and the core time that each run has been served so far.
 */
final class CoreUsage {
    private final Settings settings;
    private final ControllerClock clock;
    private int running;

    /** Runs before the latest event that time passed to. */
    private int runningBefore;

    private int paused;
    private double coreMillis;

    /** Moving averages of runs, and of those of them that are on a core or want one. */
    private double meanRunning;

    private double meanOnCores;

    CoreUsage(Settings settings, ControllerClock clock) {
        this.settings = settings;
        this.clock = clock;
    }

    /** Time passes; each run gets an equal part of the cores. */
    void advance(double passedMillis) {
        runningBefore = running;
        coreMillis +=
                passedMillis * Math.min(1, settings.cores() / Math.max(1, running * onCoreShare()));
    }

    void start(ActiveRequest request) {
        request.state = State.RUNNING;
        request.started = true;
        request.startedAtCoreMillis = coreMillis;
        running++;
    }

    /** The run waits for a call to the dependency. */
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

    /** Takes up the gauge of runs that are on a core or want one; less than 0 or NaN: absent. */
    void measure(double onCores) {
        int runs = Math.min(running, runningBefore);
        if (runs > 0 && onCores >= 0) {
            meanRunning += Smoothing.CALM_WEIGHT * (runs - meanRunning);
            meanOnCores += Smoothing.CALM_WEIGHT * (Math.min(onCores, runs) - meanOnCores);
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

    /** At least as many run as there are cores. */
    boolean saturated() {
        return running >= settings.cores();
    }

    /** Core time that this request's run has been served, in ms. */
    double servedMillis(ActiveRequest request) {
        return coreMillis - request.startedAtCoreMillis;
    }

    /**
     * Part of a run's time on the cores, above 0 and up to 1; the rest waits for disk. Reads and
     * handshakes may hide it.
     */
    double onCoreShare() {
        return meanRunning > 0
                ? Math.max(1 / settings.rules().concurrencyPerCore(), meanOnCores / meanRunning)
                : 1;
    }
}
