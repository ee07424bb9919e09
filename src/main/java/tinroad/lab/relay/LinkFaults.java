package tinroad.lab.relay;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import tinroad.lab.script.Script.Fault;
import tinroad.lab.script.Script.FaultAction;
import tinroad.lab.script.Script.LinkDirection;

/**
 * The faults that are active on one link. Faults may overlap: a stream is stopped while any of them
 * cuts it, and their delays add up. Changed by one thread, read by the threads of the relays.
 */
public final class LinkFaults {
    private final List<Fault> active = new CopyOnWriteArrayList<>();
    private final Set<Pipe> pipes = ConcurrentHashMap.newKeySet();

    /** Activates a fault. */
    public void begin(Fault fault) {
        active.add(fault);
        pipes.forEach(fault.action() == FaultAction.RESET ? Pipe::reset : Pipe::onFaultsChanged);
    }

    /** Ends a fault: data that it stopped is forwarded. */
    public void end(Fault fault) {
        active.remove(fault);
        pipes.forEach(Pipe::onFaultsChanged);
    }

    /** Resets all streams of this link. */
    public void resetAll() {
        pipes.forEach(Pipe::reset);
    }

    void addPipe(Pipe pipe) {
        pipes.add(pipe);
    }

    void removePipe(Pipe pipe) {
        pipes.remove(pipe);
    }

    private static boolean appliesTo(Fault fault, LinkDirection direction) {
        return fault.direction() == LinkDirection.BOTH || fault.direction() == direction;
    }

    /** Whether a fault with this action is active in this direction. */
    boolean isActive(FaultAction action, LinkDirection direction) {
        for (Fault fault : active) {
            if (fault.action() == action && appliesTo(fault, direction)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Whether a fault with this action is active in at least one direction. Decides over new
     * connections, which need both directions.
     */
    boolean isActiveInEitherDirection(FaultAction action) {
        return isActive(action, LinkDirection.IN) || isActive(action, LinkDirection.OUT);
    }

    /** Whether nothing is forwarded in this direction. */
    boolean isCut(LinkDirection direction) {
        return isActive(FaultAction.CUT, direction);
    }

    /** Delay in ms; {@code jitterShare}, from 0 to 1, is the share of each jitter that is added. */
    double delay(LinkDirection direction, double jitterShare) {
        double delayMillis = 0;
        for (Fault fault : active) {
            delayMillis +=
                    fault.action() == FaultAction.DELAY && appliesTo(fault, direction)
                            ? fault.delay() + jitterShare * fault.jitter()
                            : 0;
        }
        return delayMillis;
    }

    /** Bytes per ms, the lowest of all active throttles; infinite where there is none. */
    double rate(LinkDirection direction) {
        double minRate = Double.POSITIVE_INFINITY;
        for (Fault fault : active) {
            minRate =
                    fault.action() == FaultAction.THROTTLE && appliesTo(fault, direction)
                            ? Math.min(minRate, fault.rate() / 1000)
                            : minRate;
        }
        return minRate;
    }

    /** Probability, from 0 to 1, that this action is applied to a datagram. */
    double chance(FaultAction action) {
        double maxChance = 0;
        for (Fault fault : active) {
            maxChance = fault.action() == action ? Math.max(maxChance, fault.chance()) : maxChance;
        }
        return maxChance;
    }
}
