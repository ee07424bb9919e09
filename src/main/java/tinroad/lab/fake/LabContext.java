package tinroad.lab.fake;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;
import tinroad.lab.schedule.Schedule;
import tinroad.lab.verification.RunHistory;
import tinroad.lab.verification.Try;

/** What the fakes of a run share. One event loop owns it and all of them. */
public final class LabContext {
    /** A deliberate fault of a fake, for tests of the checker. */
    public enum Mutant {
        NONE,
        ENGINE_RUNS_TWICE,
        CALLER_REPEATS_UNPROVEN,
        RELAY_CHANGES_A_BYTE
    }

    final EventLoop loop;
    final Schedule schedule;
    final RunHistory history;
    final EventQueue events;
    final Mutant mutant;
    final Map<String, Try> triesById = new HashMap<>();
    private final DoubleSupplier clock;

    /** When a relay saw a gateway close the connection of a source; removed when read. */
    private final Map<InetSocketAddress, Double> closeTimes = new ConcurrentHashMap<>();

    private double unixAtZero;
    private final FakeEngine[] engines;
    private final int[] incarnations;
    private final int[] connections;

    /** Creates a context; {@code clock} returns ms since the start of the load. */
    public LabContext(
            EventLoop loop,
            RunHistory history,
            EventQueue events,
            Mutant mutant,
            DoubleSupplier clock) {
        this.loop = loop;
        this.history = history;
        this.schedule = history.plan;
        this.events = events;
        this.mutant = mutant;
        this.clock = clock;
        int count = schedule.script().fleet().gateways();
        engines = new FakeEngine[count];
        incarnations = new int[count];
        connections = new int[count];
    }

    /** Time in ms since the start of the load. */
    public double now() {
        return clock.getAsDouble();
    }

    /** Sets the Unix time, in ms, at which the load starts. */
    public void begins(double unixMillis) {
        unixAtZero = unixMillis;
    }

    /** Unix time, in ms, at which the load starts. */
    public double unixAtZero() {
        return unixAtZero;
    }

    /** The try with this id, or null. */
    public Try byId(String id) {
        return triesById.get(id);
    }

    long unixMillis(double at) {
        return Math.round(unixAtZero + at);
    }

    /** Records that a gateway closed the connection of this source now; called by relay threads. */
    public void closed(InetSocketAddress from) {
        closeTimes.put(from, now());
    }

    /** When a gateway closed the connection of this source; now where it ended otherwise. */
    double closedAt(InetSocketAddress from) {
        Double at = from == null ? null : closeTimes.remove(from);
        return at == null ? now() : at;
    }

    void engine(int gateway, FakeEngine engine) {
        engines[gateway] = engine;
    }

    /** The engine of a gateway. */
    public FakeEngine engine(int gateway) {
        return engines[gateway];
    }

    /** Sets the incarnation of a gateway when a new process of it starts. */
    public void lives(int gateway, int number) {
        incarnations[gateway] = number;
    }

    int incarnation(int gateway) {
        return incarnations[gateway];
    }

    void connections(int gateway, int change) {
        connections[gateway] += change;
        if (change > 0) {
            history.count(RunHistory.Counter.CONNECTIONS, gateway, now());
        }
    }

    int connections(int gateway) {
        return connections[gateway];
    }
}
