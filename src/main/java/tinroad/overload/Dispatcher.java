package tinroad.overload;

import tinroad.overload.Controller.Actions;

/** Starts queued requests while the concurrency limit and the memory allow it. */
final class Dispatcher {
    private final Actions actions;
    private final RequestQueue queue;
    private final ConcurrencyLimit limit;
    private final CoreUsage cores;
    private final MemoryBudget memory;
    private final HealthPolicy health;

    Dispatcher(
            Actions actions,
            RequestQueue queue,
            ConcurrencyLimit limit,
            CoreUsage cores,
            MemoryBudget memory,
            HealthPolicy health) {
        this.actions = actions;
        this.queue = queue;
        this.limit = limit;
        this.cores = cores;
        this.memory = memory;
        this.health = health;
    }

    void dispatch() {
        while (cores.running() < (int) limit.allowed()
                && cores.runningOrPaused() < (int) limit.survivable()) {
            ActiveRequest next = queue.next(memory, cores.running());
            if (next == null) {
                return;
            }
            start(next);
        }
    }

    private void start(ActiveRequest request) {
        queue.remove(request);
        if (cores.running() == 0) {
            health.firstRunStarted();
        }
        cores.start(request);
        memory.runStarted(request);
        actions.run(request.id);
    }
}
