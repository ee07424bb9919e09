package tinroad.lab.fake;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Tasks by due time, in ms. Tasks with the same due time run in the order of scheduling. */
public final class EventQueue {
    private record Event(double dueMillis, long number, Runnable task) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Event::dueMillis).thenComparingLong(Event::number));
    private long nextNumber;

    /** Schedules a task. */
    public void at(double dueMillis, Runnable task) {
        events.add(new Event(dueMillis, nextNumber++, task));
    }

    /** Drops all tasks. */
    public void clear() {
        events.clear();
    }

    /** Runs all tasks that are due, also those that they schedule. */
    public void run(double nowMillis) {
        while (!events.isEmpty() && events.peek().dueMillis <= nowMillis) {
            events.poll().task.run();
        }
    }
}
