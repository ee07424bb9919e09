package tinroad.lab.relay;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import tinroad.lab.script.Script.Deed;
import tinroad.lab.script.Script.Trouble;
import tinroad.lab.script.Script.Way;

/**
 * What is wrong with one link at this moment. Faults may overlap: a stream is held while any of
 * them cuts it, and their delays add up. Set by one thread, read by those of the relays.
 */
public final class LinkFaults {
    private final List<Trouble> active = new CopyOnWriteArrayList<>();
    private final Set<Pipe> pipes = ConcurrentHashMap.newKeySet();

    /** A fault begins. */
    public void begin(Trouble t) {
        active.add(t);
        pipes.forEach(t.deed() == Deed.RESET ? Pipe::reset : Pipe::changed);
    }

    /** It ends: what was held goes on. */
    public void end(Trouble t) {
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

    private static boolean goes(Trouble t, Way way) {
        return t.way() == Way.BOTH || t.way() == way;
    }

    /** Whether this fault is there in this direction. */
    boolean has(Deed deed, Way way) {
        for (Trouble t : active) {
            if (t.deed() == deed && goes(t, way)) {
                return true;
            }
        }
        return false;
    }

    /** Whether a new connection is held, reset or swallowed: a connection needs both directions. */
    boolean hasEither(Deed deed) {
        return has(deed, Way.IN) || has(deed, Way.OUT);
    }

    /** Whether nothing goes on in this direction. */
    boolean cut(Way way) {
        return has(Deed.CUT, way);
    }

    /** Delay in ms; {@code chance} is a random number from 0 to 1. */
    double delay(Way way, double chance) {
        double sum = 0;
        for (Trouble t : active) {
            sum += t.deed() == Deed.DELAY && goes(t, way) ? t.delay() + chance * t.jitter() : 0;
        }
        return sum;
    }

    /** Bytes in a ms; infinite where nothing throttles. */
    double rate(Way way) {
        double least = Double.POSITIVE_INFINITY;
        for (Trouble t : active) {
            least =
                    t.deed() == Deed.THROTTLE && goes(t, way)
                            ? Math.min(least, t.rate() / 1000)
                            : least;
        }
        return least;
    }

    /** Chance that this happens to a datagram. */
    double chance(Deed deed) {
        double most = 0;
        for (Trouble t : active) {
            most = t.deed() == deed ? Math.max(most, t.chance()) : most;
        }
        return most;
    }
}
