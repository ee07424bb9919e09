package tinroad.overload;

import java.util.ArrayList;
import java.util.List;

/** The admitted requests that wait for a run. */
final class RequestQueue {
    private final List<ActiveRequest> queued = new ArrayList<>();
    private final RequestPriority priority;
    private final RunTimeEstimator estimator;

    RequestQueue(RequestPriority priority, RunTimeEstimator estimator) {
        this.priority = priority;
        this.estimator = estimator;
    }

    void add(ActiveRequest request) {
        queued.add(request);
    }

    void remove(ActiveRequest request) {
        queued.remove(request);
    }

    int size() {
        return queued.size();
    }

    boolean isEmpty() {
        return queued.isEmpty();
    }

    /** Expected runs, in ms, of all that goes before or with this priority. */
    double workBeforeMillis(double order) {
        return queued.stream()
                .filter(request -> priority.of(request) >= order)
                .mapToDouble(estimator::runMillis)
                .sum();
    }

    /**
     * The request of highest priority whose run fits into memory, the oldest of equals, or null.
     */
    ActiveRequest next(MemoryBudget memory, int running) {
        ActiveRequest best = null;
        double first = 0;
        for (ActiveRequest request : queued) {
            double order = priority.of(request);
            if (memory.fitsRun(request, running) && (best == null || order > first)) {
                best = request;
                first = order;
            }
        }
        return best;
    }
}
