package tinroad.core;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The requests of a gateway that are unanswered or may still run, in the order of their arrival,
 * and the ids that were executed. The table also counts how many requests in flight refer to each
 * slot of classes and tenants. Its size is bounded by the memory that the controller admits, and by
 * the longest deadline. All methods must be called on the event loop.
 */
final class RequestTable {
    private final Clock clock;

    /** Requests in flight, by id: those that are unanswered, or whose run may still end. */
    private final Map<String, ActiveRequest> requests = new LinkedHashMap<>();

    /**
     * Ids that were executed, with their deadlines in Unix ms. Until its deadline a client may send
     * an id again; no id is ever run twice.
     */
    private final LinkedHashMap<String, Double> executed = new LinkedHashMap<>();

    /** Requests that could not be sent to run because the engine link was down, oldest first. */
    private final ArrayDeque<ActiveRequest> awaitingLink = new ArrayDeque<>();

    private final SlotReferences classSlots = new SlotReferences();
    private final SlotReferences tenantSlots = new SlotReferences();

    RequestTable(Clock clock) {
        this.clock = clock;
    }

    /** Returns the request in flight with this id, or null. */
    ActiveRequest find(String id) {
        return requests.get(id);
    }

    /** Returns whether a request with this id is in flight, or was executed. */
    boolean isKnown(String id) {
        return requests.containsKey(id) || executed.containsKey(id);
    }

    void add(ActiveRequest request) {
        classSlots.acquire(request.classEntry.slot());
        tenantSlots.acquire(request.tenantSlot);
        requests.put(request.id, request);
    }

    /** Removes a request that is over; returns false if it was not in flight any more. */
    boolean remove(ActiveRequest request) {
        if (!requests.remove(request.id, request)) {
            return false;
        }
        double nowMillis = clock.nowMillis();
        classSlots.release(request.classEntry.slot(), nowMillis);
        tenantSlots.release(request.tenantSlot, nowMillis);
        return true;
    }

    /** Returns a view of all requests in flight. */
    Collection<ActiveRequest> all() {
        return requests.values();
    }

    /** Returns a copy of all requests in flight, for loops in which requests end. */
    List<ActiveRequest> snapshot() {
        return List.copyOf(requests.values());
    }

    /** Returns how many requests are unanswered or may still run. */
    int size() {
        return requests.size();
    }

    /** Returns how many requests have no answer yet. */
    int unanswered() {
        return (int) requests.values().stream().filter(request -> !request.answered).count();
    }

    // --- requests that wait for the engine link ---

    void addAwaitingLink(ActiveRequest request) {
        awaitingLink.add(request);
    }

    boolean isAwaitingLink(ActiveRequest request) {
        return awaitingLink.contains(request);
    }

    /** Removes a request from those that wait for the link; returns false if it was not waiting. */
    boolean removeAwaitingLink(ActiveRequest request) {
        return awaitingLink.remove(request);
    }

    /** Returns a copy of the requests that wait for the link, oldest first. */
    List<ActiveRequest> awaitingLink() {
        return List.copyOf(awaitingLink);
    }

    /** Removes all requests that wait for the link, and returns them, oldest first. */
    List<ActiveRequest> drainAwaitingLink() {
        List<ActiveRequest> waiting = awaitingLink();
        awaitingLink.clear();
        return waiting;
    }

    // --- executed ids ---

    void markExecuted(ActiveRequest request) {
        executed.put(request.id, request.deadlineAtMillis);
    }

    /**
     * Restores the ids that an earlier incarnation executed, except those whose deadline has
     * passed.
     */
    void restoreExecuted(Map<String, Double> deadlines, double nowMillis) {
        deadlines.forEach(
                (id, deadlineAtMillis) -> {
                    if (deadlineAtMillis > nowMillis) {
                        executed.put(id, deadlineAtMillis);
                    }
                });
    }

    /** Returns the ids that were or may have been executed, with their deadlines in Unix ms. */
    Map<String, Double> executedIds() {
        Map<String, Double> all = new LinkedHashMap<>(executed);
        requests.values().stream()
                .filter(request -> request.progress != Progress.NOT_SENT)
                .forEach(request -> all.put(request.id, request.deadlineAtMillis));
        return all;
    }

    void expireExecuted(double nowMillis) {
        executed.values().removeIf(deadlineAtMillis -> deadlineAtMillis < nowMillis);
    }

    // --- slots ---

    /** Returns how many requests in flight refer to this slot of classes. */
    int classSlotReferences(int slot) {
        return classSlots.count(slot);
    }

    /** Returns how many requests in flight refer to this slot of tenants. */
    int tenantSlotReferences(int slot) {
        return tenantSlots.count(slot);
    }

    /**
     * Sets the listeners that are notified of removed slots that no request in flight refers to any
     * more.
     */
    void onSlotsFree(Consumer<int[]> classListener, Consumer<int[]> tenantListener) {
        classSlots.onFree(classListener);
        tenantSlots.onFree(tenantListener);
    }

    void removeClassSlot(int slot, double nowMillis) {
        classSlots.remove(slot, nowMillis);
    }

    void removeTenantSlot(int slot, double nowMillis) {
        tenantSlots.remove(slot, nowMillis);
    }

    void releaseUnreferencedSlots(double nowMillis) {
        classSlots.releaseUnreferenced(nowMillis);
        tenantSlots.releaseUnreferenced(nowMillis);
    }
}
