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

/** What the stand-ins of a run share: one event loop owns it and all of them. */
public final class LabContext {
    /** A stand-in that does wrong, for tests of the checker. */
    public enum Mutant {
        NONE,
        ENGINE_RUNS_TWICE,
        CALLER_REPEATS_UNPROVEN,
        RELAY_CHANGES_A_BYTE
    }

    final EventLoop loop;
    final Schedule plan;
    final RunHistory ledger;
    final EventQueue agenda;
    final Mutant mutant;
    final Map<String, Try> byId = new HashMap<>();
    private final DoubleSupplier clock;

    /** When a relay saw a gateway close the connection of this source; taken once. */
    private final Map<InetSocketAddress, Double> closed = new ConcurrentHashMap<>();

    private double unixAtZero;
    private final FakeEngine[] engines;
    private final int[] life;
    private final int[] connections;

    /** A world whose time {@code clock} is in ms from the beginning of the load. */
    public LabContext(
            EventLoop loop,
            RunHistory ledger,
            EventQueue agenda,
            Mutant mutant,
            DoubleSupplier clock) {
        this.loop = loop;
        this.ledger = ledger;
        this.plan = ledger.plan;
        this.agenda = agenda;
        this.mutant = mutant;
        this.clock = clock;
        int n = plan.script().fleet().gateways();
        engines = new FakeEngine[n];
        life = new int[n];
        connections = new int[n];
    }

    /** Time, in ms from the beginning of the load. */
    public double now() {
        return clock.getAsDouble();
    }

    /** The load begins at this Unix time, in ms. */
    public void begins(double unix) {
        unixAtZero = unix;
    }

    /** Unix time of the beginning of the load, in ms. */
    public double unixAtZero() {
        return unixAtZero;
    }

    /** The try with this id, or null. */
    public Try byId(String id) {
        return byId.get(id);
    }

    long unix(double at) {
        return Math.round(unixAtZero + at);
    }

    /** A gateway closed the connection of this source just now; called by the relays' threads. */
    public void closed(InetSocketAddress from) {
        closed.put(from, now());
    }

    /** When that was, or now where the connection ended otherwise. */
    double closedAt(InetSocketAddress from) {
        Double at = from == null ? null : closed.remove(from);
        return at == null ? now() : at;
    }

    void engine(int gateway, FakeEngine engine) {
        engines[gateway] = engine;
    }

    /** The engine of a gateway. */
    public FakeEngine engine(int gateway) {
        return engines[gateway];
    }

    /** Another process of this gateway begins. */
    public void lives(int gateway, int number) {
        life[gateway] = number;
    }

    int life(int gateway) {
        return life[gateway];
    }

    void connections(int gateway, int change) {
        connections[gateway] += change;
        if (change > 0) {
            ledger.count(RunHistory.Counter.CONNECTIONS, gateway, now());
        }
    }

    int connections(int gateway) {
        return connections[gateway];
    }
}
