package tinroad.core;

import java.util.List;

/** What a gateway has done since its process started, counted where it happens; read by operators. */
public final class Figures {
    private final List<String> classNames;
    private final long[] served;
    private final long[] refused;
    private final long[] failed;
    private long runs;

    Figures(List<String> classNames) {
        this.classNames = classNames;
        served = new long[classNames.size()];
        refused = new long[classNames.size()];
        failed = new long[classNames.size()];
    }

    /** An answer leaves to a request of this class. */
    void answered(int cls, Answer.Kind kind) {
        long[] counts = switch (kind) {
            case SERVED -> served;
            case REFUSED -> refused;
            case FAILED, INVALID -> failed;
        };
        counts[cls]++;
    }

    /** A run is handed to the engine; its repetition on a later link is the same run. */
    void handedOver() {
        runs++;
    }

    /** The names of the classes; the other figures have the same order. */
    public List<String> classNames() {
        return classNames;
    }

    /** Requests answered with the engine's result. */
    public long served(int cls) {
        return served[cls];
    }

    /** Requests turned away, which never ran. */
    public long refused(int cls) {
        return refused[cls];
    }

    /** Requests that ended in any other way. */
    public long failed(int cls) {
        return failed[cls];
    }

    /** Runs handed to the engine. */
    public long runs() {
        return runs;
    }
}
