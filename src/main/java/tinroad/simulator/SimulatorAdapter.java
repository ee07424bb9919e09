package tinroad.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import tinroad.overload.Controller;

/**
 * The wire's loop: reads a batch, hands each event to its instance's controller, writes one reply.
 */
public final class SimulatorAdapter {
    private final Function<Controller.Actions, Controller> factory;
    private final WireReader in;
    private final WireWriter out;
    private final PrintStream err;
    private final Map<Long, Controller> instances = new HashMap<>();

    /** A loop over {@code in}, with a controller of {@code factory} for each instance. */
    public SimulatorAdapter(
            Function<Controller.Actions, Controller> factory,
            InputStream in,
            OutputStream out,
            PrintStream err)
            throws IOException {
        this.factory = factory;
        this.in = new WireReader(in);
        this.out = new WireWriter(out);
        this.err = err;
    }

    /** Serves batches until the input ends. */
    public void run() throws IOException {
        while (in.next()) {
            if (!in.type().equals("mark")) {
                throw in.wrong("expected mark, found " + in.type());
            }
            double nowMillis = in.number("moment");
            long turn = in.integer("turn");
            events(nowMillis);
            out.ack(turn);
        }
    }

    private void events(double nowMillis) throws IOException {
        while (in.next()) {
            if (in.type().equals("eob")) {
                return;
            }
            event(nowMillis);
        }
        throw in.wrong("input ended inside a batch");
    }

    private void event(double nowMillis) throws IOException {
        long server = in.integer("server_id");
        switch (in.type()) {
            case "begin" -> begin(nowMillis, server);
            case "stop" -> instances.remove(server);
            case "req", "ended", "needs", "dep_reply", "vanished", "lame_duck", "timeout_fired" -> {
                Controller controller = instances.get(server);
                if (controller == null) {
                    throw in.wrong(
                            in.type() + " for server_id " + server + ", which has not begun");
                }
                guarded(server, call(controller, nowMillis));
            }
            default -> throw in.wrong("unknown event " + in.type());
        }
    }

    private void begin(double nowMillis, long server) throws IOException {
        Controller.Settings settings = in.settings();
        long seed = in.integer("init_seed");
        guarded(
                server,
                () -> {
                    Controller controller = factory.apply(out.actions(server));
                    instances.put(server, controller);
                    controller.start(nowMillis, seed, settings);
                });
    }

    private Runnable call(Controller c, double nowMillis) throws IOException {
        switch (in.type()) {
            case "req":
                {
                    Controller.Request request = in.request();
                    return () -> c.requestArrived(nowMillis, request);
                }
            case "ended":
                {
                    String id = in.text("txn");
                    double elapsed = in.number("wait_time");
                    Controller.Outcome outcome = in.outcome();
                    return () -> c.completed(nowMillis, id, elapsed, outcome);
                }
            case "dep_reply":
                {
                    String id = in.text("txn");
                    double elapsed = in.number("wait_time");
                    Controller.Outcome outcome = in.outcome();
                    return () -> c.dependencyCallCompleted(nowMillis, id, elapsed, outcome);
                }
            case "needs":
                {
                    String id = in.text("txn");
                    return () -> c.dependencyCallNeeded(nowMillis, id);
                }
            case "vanished":
                {
                    String id = in.text("txn");
                    return () -> c.cancelled(nowMillis, id);
                }
            case "lame_duck":
                {
                    double leaveAt = in.number("valid_until");
                    return () -> c.beginDraining(nowMillis, leaveAt);
                }
            default:
                {
                    String token = in.text("token");
                    Controller.Gauges gauges = in.gauges();
                    return () -> c.timerFired(nowMillis, token, gauges);
                }
        }
    }

    /** A failure of the decision code becomes the wire's crash action; it is never swallowed. */
    private void guarded(long server, Runnable call) throws IOException {
        try {
            call.run();
        } catch (RuntimeException e) {
            e.printStackTrace(err);
            out.crash(server, e.toString());
        }
    }
}
