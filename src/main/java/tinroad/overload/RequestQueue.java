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

    /** Sum of the expected run times, in ms, of the queued requests with at least this priority. */
    double workBeforeMillis(double priorityValue) {
        return queued.stream()
                .filter(request -> priority.of(request) >= priorityValue)
                .mapToDouble(estimator::runMillis)
                .sum();
    }

    /**
     * Returns the queued request of the highest priority whose run fits into memory, the oldest of
     * equals, or null if there is none.
     */
    ActiveRequest next(MemoryBudget memory, int running) {
        ActiveRequest best = null;
        double bestPriority = 0;
        for (ActiveRequest request : queued) {
            double priorityValue = priority.of(request);
            if (memory.fitsRun(request, running)
                    && (best == null || priorityValue > bestPriority)) {
                best = request;
                bestPriority = priorityValue;
            }
        }
        return best;
    }
}
