package tinroad.lab.fake;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import tinroad.lab.script.Script;

/**
 * The cores of one engine: all that runs shares them evenly, and nothing gets more than one core.
 * Too much at once costs work, and a cold start is slow. Each core reads one request at a time
 * beside the runs; the rest wait unread. Times in ms, work in ms of a core at speed 1. Between two
 * calls the speed is held.
 */
public final class CoreModel {
    /** Time constant of the busy share, in ms. */
    private static final double USE_OVER = 500;

    private static final String READ = "read ";

    private record Job(String id, double endsAt) {}

    private final Script.EngineModel law;
    private final int cores;
    private final double speed;
    private final PriorityQueue<Job> jobs =
            new PriorityQueue<>(Comparator.comparingDouble(Job::endsAt).thenComparing(Job::id));
    private final ArrayDeque<Job> unread = new ArrayDeque<>();
    private int reading;
    private double now;
    private double startedAt;
    private double factor = 1;
    private boolean paused;

    /** Work that each job present since the beginning has got. */
    private double attained;

    private double use;
    private double done;
    private long reads;

    /** Cores that start at {@code now}: cold, or warm for good. */
    public CoreModel(
            Script.EngineModel law, int cores, double speed, double nowMillis, boolean cold) {
        this.law = law;
        this.cores = cores;
        this.speed = speed;
        this.now = nowMillis;
        startedAt = cold ? nowMillis : Double.NEGATIVE_INFINITY;
    }

    /** How much of its speed a core has at this moment. */
    public double warmth() {
        return Math.min(1, law.cold() + (1 - law.cold()) * (now - startedAt) / law.warmup());
    }

    /** Work that each job gets in a ms. */
    private double rate() {
        int n = jobs.size();
        if (n == 0 || paused) {
            return 0;
        }
        double each = (double) n / cores;
        double slowed = 1 / (1 + law.crowding() * Math.max(0, each - law.knee()));
        return speed * factor * warmth() * slowed * Math.min(1, 1 / each);
    }

    /** Brings the cores to {@code to}; returns what ended meanwhile, in that order. */
    public List<String> advance(double to) {
        List<String> ended = new ArrayList<>();
        while (now < to) {
            double rate = rate();
            double next =
                    rate == 0
                            ? to
                            : Math.min(to, now + Math.max(0, jobs.peek().endsAt - attained) / rate);
            double part = Math.exp(-(next - now) / USE_OVER);
            use = use * part + (1 - part) * Math.min(1, (double) jobs.size() / cores);
            attained += rate * (next - now);
            done += rate * (next - now) * jobs.size();
            now = next;
            // A hair's breadth: else rounding may leave the first job with a rest that takes no
            // time.
            while (rate > 0 && !jobs.isEmpty() && jobs.peek().endsAt <= attained + 1e-9) {
                Job job = jobs.poll();
                if (job.id.startsWith(READ)) {
                    reading--;
                    readNext();
                } else {
                    ended.add(job.id);
                }
            }
        }
        return ended;
    }

    /** Begins work; the caller has advanced to now. */
    public void start(String id, double work) {
        jobs.add(new Job(id, attained + work));
    }

    /**
     * A request, a check or a new connection comes, which costs this work to take in; the caller
     * has advanced to now.
     */
    public void read(double work) {
        unread.add(new Job(READ + ++reads, work));
        readNext();
    }

    private void readNext() {
        while (reading < cores && !unread.isEmpty()) {
            Job next = unread.poll();
            reading++;
            start(next.id, next.endsAt);
        }
    }

    /** How much waits to be read. */
    public int unread() {
        return unread.size();
    }

    /** All that is under way is lost. */
    public void clear() {
        jobs.clear();
        unread.clear();
        reading = 0;
    }

    /** Stops all work, or goes on with it. */
    public void pause(boolean on) {
        paused = on;
    }

    /** Sets the share of the speed that is left. */
    public void slow(double share) {
        factor = share;
    }

    /** How much is under way. */
    public int present() {
        return jobs.size();
    }

    /** Busy share of the cores, over the last half second or so. */
    public double use() {
        return use;
    }

    /** Work done so far, in ms of a core at speed 1. */
    public double done() {
        return done;
    }
}
