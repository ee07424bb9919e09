package tinroad.lab.fake;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import tinroad.lab.script.Script;

/**
 * Model of the cores of one engine. All jobs share the cores evenly, and none gets more than one
 * core. Too many jobs at once slow all of them down, and a cold engine is slow at first. Each core
 * reads one request at a time beside the runs; further requests wait unread. Times are in ms, work
 * in ms of a core at speed 1. Between two calls the speed stays constant.
 */
public final class CoreModel {
    /** Time constant with which the busy share is averaged. */
    private static final double USE_TIME_CONSTANT_MILLIS = 500;

    private static final String READ_PREFIX = "read ";

    /**
     * A job in progress, which ends once each job has attained {@code endsAt}; for a job that waits
     * unread {@code endsAt} is its work.
     */
    private record Job(String id, double endsAt) {}

    private final Script.EngineModel model;
    private final int cores;
    private final double speed;
    private final PriorityQueue<Job> jobs =
            new PriorityQueue<>(Comparator.comparingDouble(Job::endsAt).thenComparing(Job::id));
    private final ArrayDeque<Job> unread = new ArrayDeque<>();
    private int readsInProgress;
    private double timeMillis;
    private double startedAtMillis;
    private double speedFactor = 1;
    private boolean paused;

    /** Work that a job would have received that was present since these cores started. */
    private double attained;

    private double busyShare;
    private double workDone;
    private long readCount;

    /** Creates cores that start at {@code nowMillis}, either cold or fully warmed up. */
    public CoreModel(
            Script.EngineModel model, int cores, double speed, double nowMillis, boolean cold) {
        this.model = model;
        this.cores = cores;
        this.speed = speed;
        this.timeMillis = nowMillis;
        startedAtMillis = cold ? nowMillis : Double.NEGATIVE_INFINITY;
    }

    /** Share of its full speed that warm-up allows a core now. */
    public double warmUpFactor() {
        return Math.min(
                1,
                model.cold()
                        + (1 - model.cold()) * (timeMillis - startedAtMillis) / model.warmup());
    }

    /** Work that each job receives per ms. */
    private double rate() {
        int jobCount = jobs.size();
        if (jobCount == 0 || paused) {
            return 0;
        }
        double jobsPerCore = (double) jobCount / cores;
        double crowdingFactor =
                1 / (1 + model.crowding() * Math.max(0, jobsPerCore - model.knee()));
        return speed * speedFactor * warmUpFactor() * crowdingFactor * Math.min(1, 1 / jobsPerCore);
    }

    /** Advances the cores to {@code untilMillis}; returns the runs that ended, in order. */
    public List<String> advance(double untilMillis) {
        List<String> ended = new ArrayList<>();
        while (timeMillis < untilMillis) {
            double rate = rate();
            double next =
                    rate == 0
                            ? untilMillis
                            : Math.min(
                                    untilMillis,
                                    timeMillis + Math.max(0, jobs.peek().endsAt - attained) / rate);
            double decay = Math.exp(-(next - timeMillis) / USE_TIME_CONSTANT_MILLIS);
            busyShare = busyShare * decay + (1 - decay) * Math.min(1, (double) jobs.size() / cores);
            attained += rate * (next - timeMillis);
            workDone += rate * (next - timeMillis) * jobs.size();
            timeMillis = next;
            // The tolerance covers rounding, which may leave the first job with a remainder too
            // small to advance the time.
            while (rate > 0 && !jobs.isEmpty() && jobs.peek().endsAt <= attained + 1e-9) {
                Job job = jobs.poll();
                if (job.id.startsWith(READ_PREFIX)) {
                    readsInProgress--;
                    readNext();
                } else {
                    ended.add(job.id);
                }
            }
        }
        return ended;
    }

    /** Starts a run; the caller has advanced the cores to the present time. */
    public void start(String id, double work) {
        jobs.add(new Job(id, attained + work));
    }

    /**
     * Adds the work of reading a request, a check or a new connection; the caller has advanced the
     * cores to the present time.
     */
    public void read(double work) {
        unread.add(new Job(READ_PREFIX + ++readCount, work));
        readNext();
    }

    private void readNext() {
        while (readsInProgress < cores && !unread.isEmpty()) {
            Job next = unread.poll();
            readsInProgress++;
            start(next.id, next.endsAt);
        }
    }

    /** Number of items that wait to be read. */
    public int unread() {
        return unread.size();
    }

    /** Discards all jobs, unread ones included. */
    public void clear() {
        jobs.clear();
        unread.clear();
        readsInProgress = 0;
    }

    /** Pauses all work, or resumes it. */
    public void pause(boolean on) {
        paused = on;
    }

    /** Sets the share of the speed at which the cores run. */
    public void slow(double share) {
        speedFactor = share;
    }

    /** Number of jobs in progress, reads included. */
    public int present() {
        return jobs.size();
    }

    /** Busy share of the cores, averaged over about half a second. */
    public double use() {
        return busyShare;
    }

    /** Work done so far, in ms of a core at speed 1. */
    public double done() {
        return workDone;
    }
}
