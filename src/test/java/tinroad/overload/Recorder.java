package tinroad.overload;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Records every action as one line of text, in order. */
class Recorder implements Controller.Actions {
    final List<String> lines = new ArrayList<>();

    /** Returns and removes the lines recorded since the last call. */
    List<String> take() {
        List<String> taken = List.copyOf(lines);
        lines.clear();
        return taken;
    }

    /**
     * Removes the lines recorded since the last call, and returns those that start with this word.
     */
    List<String> take(String word) {
        return take().stream().filter(l -> l.startsWith(word + " ")).toList();
    }

    private void add(String format, Object... args) {
        lines.add(String.format(Locale.ROOT, format, args));
    }

    @Override
    public void run(String id) {
        add("run %s", id);
    }

    @Override
    public void reject(String id, double retryAfterMillis, boolean doNotRetry) {
        add("refuse %s %.0f %s", id, retryAfterMillis, doNotRetry);
    }

    @Override
    public void fail(String id) {
        add("fail %s", id);
    }

    @Override
    public void cancel(String id) {
        add("halt %s", id);
    }

    @Override
    public void callDependency(String id, double timeoutMillis) {
        add("call %s %.0f", id, timeoutMillis);
    }

    @Override
    public void skipDependency(String id) {
        add("skip %s", id);
    }

    @Override
    public void retainKey(String id, double durationMillis) {
        add("keep %s %.0f", id, durationMillis);
    }

    @Override
    public void releaseKey(String id) {
        add("forget %s", id);
    }

    @Override
    public void replayResult(String id) {
        add("reuse %s", id);
    }

    @Override
    public void setHealth(boolean healthy, boolean withoutRealWork) {
        add("health %s %s", healthy, withoutRealWork);
    }

    @Override
    public void advertiseLoad(double value) {
        add("say %.2f", value);
    }

    @Override
    public void setIdleTimeout(double idleMillis) {
        add("idle %.0f", idleMillis);
    }

    @Override
    public void scheduleTimer(String token, double delayMillis) {
        add("timer %s %.0f", token, delayMillis);
    }

    @Override
    public void log(String text) {
        add("log %s", text);
    }
}
