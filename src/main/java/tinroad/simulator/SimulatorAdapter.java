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
 * The message loop of the simulator's protocol: reads a batch of events, passes each event to the
 * controller of its server, and writes one reply per batch.
 */
public final class SimulatorAdapter {
    private final Function<Controller.Actions, Controller> factory;
    private final MessageReader reader;
    private final ActionWriter writer;
    private final PrintStream errors;
    private final Map<Long, Controller> controllers = new HashMap<>();

    /**
     * Creates a loop that reads from {@code in} and writes to {@code out}.
     *
     * @param factory creates a controller for each server
     * @param errors receives the stack traces of exceptions in controllers
     */
    public SimulatorAdapter(
            Function<Controller.Actions, Controller> factory,
            InputStream in,
            OutputStream out,
            PrintStream errors)
            throws IOException {
        this.factory = factory;
        this.reader = new MessageReader(in);
        this.writer = new ActionWriter(out);
        this.errors = errors;
    }

    /** Serves batches until the input ends. */
    public void run() throws IOException {
        while (reader.nextMessage()) {
            if (!reader.type().equals("mark")) {
                throw reader.malformed("expected mark, found " + reader.type());
            }
            double nowMillis = reader.number("moment");
            long turn = reader.integer("turn");
            handleBatch(nowMillis);
            writer.acknowledge(turn);
        }
    }

    private void handleBatch(double nowMillis) throws IOException {
        while (reader.nextMessage()) {
            if (reader.type().equals("eob")) {
                return;
            }
            handleEvent(nowMillis);
        }
        throw reader.malformed("input ended inside a batch");
    }

    private void handleEvent(double nowMillis) throws IOException {
        long serverId = reader.integer("server_id");
        switch (reader.type()) {
            case "begin" -> startController(nowMillis, serverId);
            case "stop" -> controllers.remove(serverId);
            case "req", "ended", "needs", "dep_reply", "vanished", "lame_duck", "timeout_fired" -> {
                Controller controller = controllers.get(serverId);
                if (controller == null) {
                    throw reader.malformed(
                            reader.type() + " for server_id " + serverId + ", which has not begun");
                }
                runGuarded(serverId, toControllerCall(controller, nowMillis));
            }
            default -> throw reader.malformed("unknown event " + reader.type());
        }
    }

    private void startController(double nowMillis, long serverId) throws IOException {
        Controller.Settings settings = reader.settings();
        long seed = reader.integer("init_seed");
        runGuarded(
                serverId,
                () -> {
                    Controller controller = factory.apply(writer.actions(serverId));
                    controllers.put(serverId, controller);
                    controller.start(nowMillis, seed, settings);
                });
    }

    private Runnable toControllerCall(Controller controller, double nowMillis) throws IOException {
        return switch (reader.type()) {
            case "req" -> {
                Controller.Request request = reader.request();
                yield () -> controller.requestArrived(nowMillis, request);
            }
            case "ended" -> {
                String id = reader.text("txn");
                double elapsedMillis = reader.number("wait_time");
                Controller.Outcome outcome = reader.outcome();
                yield () -> controller.completed(nowMillis, id, elapsedMillis, outcome);
            }
            case "dep_reply" -> {
                String id = reader.text("txn");
                double elapsedMillis = reader.number("wait_time");
                Controller.Outcome outcome = reader.outcome();
                yield () ->
                        controller.dependencyCallCompleted(nowMillis, id, elapsedMillis, outcome);
            }
            case "needs" -> {
                String id = reader.text("txn");
                yield () -> controller.dependencyCallNeeded(nowMillis, id);
            }
            case "vanished" -> {
                String id = reader.text("txn");
                yield () -> controller.cancelled(nowMillis, id);
            }
            case "lame_duck" -> {
                double shutdownAtMillis = reader.number("valid_until");
                yield () -> controller.beginDraining(nowMillis, shutdownAtMillis);
            }
            default -> {
                String token = reader.text("token");
                Controller.Gauges gauges = reader.gauges();
                yield () -> controller.timerFired(nowMillis, token, gauges);
            }
        };
    }

    /** Calls the controller. An exception in it is never swallowed: it becomes a crash action. */
    private void runGuarded(long serverId, Runnable call) throws IOException {
        try {
            call.run();
        } catch (RuntimeException e) {
            e.printStackTrace(errors);
            writer.crash(serverId, e.toString());
        }
    }
}
