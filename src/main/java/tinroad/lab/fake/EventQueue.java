package tinroad.lab.fake;

import java.util.Comparator;
import java.util.PriorityQueue;

/** What is to be done when, in ms; of two things for one moment the first one noted comes first. */
public final class EventQueue {
    private record Item(double at, long number, Runnable task) {}

    private final PriorityQueue<Item> items =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Item::at).thenComparingLong(Item::number));
    private long numbers;

    /** Notes a task. */
    public void at(double at, Runnable task) {
        items.add(new Item(at, numbers++, task));
    }

    /** Nothing is noted any more. */
    public void clear() {
        items.clear();
    }

    /** Does what is due, also what it brings about. */
    public void run(double nowMillis) {
        while (!items.isEmpty() && items.peek().at <= nowMillis) {
            items.poll().task.run();
        }
    }
}
