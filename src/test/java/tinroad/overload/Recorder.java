package tinroad.overload;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Records every action as one word line, in order. */
class Recorder implements Controller.Actions {
    final List<String> lines = new ArrayList<>();

    /** The lines recorded since the last call. */
    List<String> take() {
        List<String> taken = List.copyOf(lines);
        lines.clear();
        return taken;
    }

    /** The lines since the last call that start with this word. */
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
    public void reject(String id, double stayAway, boolean last) {
        add("refuse %s %.0f %s", id, stayAway, last);
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
    public void callDependency(String id, double within) {
        add("call %s %.0f", id, within);
    }

    @Override
    public void skipDependency(String id) {
        add("skip %s", id);
    }

    @Override
    public void retainKey(String id, double duration) {
        add("keep %s %.0f", id, duration);
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
    public void setHealth(boolean good, boolean stored) {
        add("health %s %s", good, stored);
    }

    @Override
    public void advertiseLoad(double value) {
        add("say %.2f", value);
    }

    @Override
    public void setIdleTimeout(double after) {
        add("idle %.0f", after);
    }

    @Override
    public void scheduleTimer(String token, double delay) {
        add("timer %s %.0f", token, delay);
    }

    @Override
    public void log(String text) {
        add("log %s", text);
    }
}
