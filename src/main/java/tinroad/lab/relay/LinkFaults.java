package tinroad.lab.relay;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import tinroad.lab.script.Script.Fault;
import tinroad.lab.script.Script.FaultAction;
import tinroad.lab.script.Script.LinkDirection;

/**
 * What is wrong with one link at this moment. Faults may overlap: a stream is held while any of
 * them cuts it, and their delays add up. Set by one thread, read by those of the relays.
 */
public final class LinkFaults {
    private final List<Fault> active = new CopyOnWriteArrayList<>();
    private final Set<Pipe> pipes = ConcurrentHashMap.newKeySet();

    /** A fault begins. */
    public void begin(Fault t) {
        active.add(t);
        pipes.forEach(t.action() == FaultAction.RESET ? Pipe::reset : Pipe::changed);
    }

    /** It ends: what was held goes on. */
    public void end(Fault t) {
        active.remove(t);
        pipes.forEach(Pipe::changed);
    }

    /** All that goes through it is reset. */
    public void resetAll() {
        pipes.forEach(Pipe::reset);
    }

    void opened(Pipe pipe) {
        pipes.add(pipe);
    }

    void closed(Pipe pipe) {
        pipes.remove(pipe);
    }

    private static boolean goes(Fault t, LinkDirection way) {
        return t.direction() == LinkDirection.BOTH || t.direction() == way;
    }

    /** Whether this fault is there in this direction. */
    boolean has(FaultAction deed, LinkDirection way) {
        for (Fault t : active) {
            if (t.action() == deed && goes(t, way)) {
                return true;
            }
        }
        return false;
    }

    /** Whether a new connection is held, reset or swallowed: a connection needs both directions. */
    boolean hasEither(FaultAction deed) {
        return has(deed, LinkDirection.IN) || has(deed, LinkDirection.OUT);
    }

    /** Whether nothing goes on in this direction. */
    boolean cut(LinkDirection way) {
        return has(FaultAction.CUT, way);
    }

    /** Delay in ms; {@code chance} is a random number from 0 to 1. */
    double delay(LinkDirection way, double chance) {
        double sum = 0;
        for (Fault t : active) {
            sum +=
                    t.action() == FaultAction.DELAY && goes(t, way)
                            ? t.delay() + chance * t.jitter()
                            : 0;
        }
        return sum;
    }

    /** Bytes in a ms; infinite where nothing throttles. */
    double rate(LinkDirection way) {
        double least = Double.POSITIVE_INFINITY;
        for (Fault t : active) {
            least =
                    t.action() == FaultAction.THROTTLE && goes(t, way)
                            ? Math.min(least, t.rate() / 1000)
                            : least;
        }
        return least;
    }

    /** Chance that this happens to a datagram. */
    double chance(FaultAction deed) {
        double most = 0;
        for (Fault t : active) {
            most = t.action() == deed ? Math.max(most, t.chance()) : most;
        }
        return most;
    }
}
