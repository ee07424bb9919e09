package tinroad.core;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The requests of one gateway that are unanswered or may still run, in the order of their arrival,
 * and the ids that were executed. Also counts which slots of classes and tenants the requests in
 * flight refer to. Its size is bounded by the memory that the controller admits, and by the longest
 * deadline. Owned by the event loop.
 */
final class RequestTable {
    private final Clock clock;

    /** Requests in flight by id: unanswered, or with a run that may still end. */
    private final Map<String, ActiveRequest> requests = new LinkedHashMap<>();

    /**
     * Ids that were executed, with their deadlines in Unix ms: until then a client may name them
     * again, and none is ever run twice.
     */
    private final LinkedHashMap<String, Double> executed = new LinkedHashMap<>();

    /** Requests to be run that could not be sent, as the engine link was down; oldest first. */
    private final ArrayDeque<ActiveRequest> awaitingLink = new ArrayDeque<>();

    private final SlotReferences classSlots = new SlotReferences();
    private final SlotReferences tenantSlots = new SlotReferences();

    RequestTable(Clock clock) {
        this.clock = clock;
    }

    /** The request in flight with this id, or null. */
    ActiveRequest find(String id) {
        return requests.get(id);
    }

    /** Whether a request with this id is in flight, or was executed. */
    boolean isKnown(String id) {
        return requests.containsKey(id) || executed.containsKey(id);
    }

    void add(ActiveRequest request) {
        classSlots.acquire(request.classEntry.slot());
        tenantSlots.acquire(request.tenantSlot);
        requests.put(request.id, request);
    }

    /** Removes a request that is over; false where it was not in flight any more. */
    boolean remove(ActiveRequest request) {
        if (!requests.remove(request.id, request)) {
            return false;
        }
        double nowMillis = clock.nowMillis();
        classSlots.release(request.classEntry.slot(), nowMillis);
        tenantSlots.release(request.tenantSlot, nowMillis);
        return true;
    }

    /** All requests in flight, a view. */
    Collection<ActiveRequest> all() {
        return requests.values();
    }

    /** All requests in flight, a copy: for loops in which requests end. */
    List<ActiveRequest> snapshot() {
        return List.copyOf(requests.values());
    }

    /** How many requests are unanswered or may still run. */
    int size() {
        return requests.size();
    }

    /** How many requests have no answer yet. */
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

    /** Takes a request out of those that wait for the link; false where it was none of them. */
    boolean removeAwaitingLink(ActiveRequest request) {
        return awaitingLink.remove(request);
    }

    /** The requests that wait for the link, oldest first; a copy. */
    List<ActiveRequest> awaitingLink() {
        return List.copyOf(awaitingLink);
    }

    /** Takes all requests that wait for the link out of the queue, oldest first. */
    List<ActiveRequest> drainAwaitingLink() {
        List<ActiveRequest> waiting = awaitingLink();
        awaitingLink.clear();
        return waiting;
    }

    // --- executed ids ---

    void markExecuted(ActiveRequest request) {
        executed.put(request.id, request.deadlineAtMillis);
    }

    /** Ids that an earlier incarnation executed; those whose deadline has passed are dropped. */
    void restoreExecuted(Map<String, Double> deadlines, double nowMillis) {
        deadlines.forEach(
                (id, deadlineAtMillis) -> {
                    if (deadlineAtMillis > nowMillis) {
                        executed.put(id, deadlineAtMillis);
                    }
                });
    }

    /** Ids that were or may have been executed, with their deadlines in Unix ms. */
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

    /** How many requests in flight refer to this slot of classes. */
    int classSlotReferences(int slot) {
        return classSlots.count(slot);
    }

    /** How many requests in flight refer to this slot of tenants. */
    int tenantSlotReferences(int slot) {
        return tenantSlots.count(slot);
    }

    /** Sets who is notified of removed slots that no request in flight refers to any more. */
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
