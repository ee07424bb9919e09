package tinroad.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.helpers.NOPLogger;
import tinroad.admin.AdminServer;
import tinroad.config.Site;
import tinroad.core.Gateway;
import tinroad.engine.EngineLink;
import tinroad.fastcgi.FastCgiFrontend;
import tinroad.overload.Controller;
import tinroad.overload.OverloadController;

/**
 * Made-up requests, run through a gateway of their own that is thrown away, before the real one
 * listens. Guards the first seconds of service: the virtual machine compiles what it has seen
 * often, and on a part of a core that work would keep callers waiting. Touches no socket, and
 * writes no log line.
 */
final class JitWarmup {
    /**
     * Steps of so many ms; in each as many requests come as the made-up engine ends, but for its
     * rests.
     */
    private static final int STEPS = 300;

    private static final double STEP_MS = 5;
    private static final int REQUESTS = 2;

    /** So many steps of every hundred the engine ends nothing: a line forms in the hold. */
    private static final int REST = 8;

    private static final int CONNECTIONS = 8;

    /**
     * Of a large site it plays with so many classes and tenants: what the virtual machine sees does
     * not grow with the rest.
     */
    static final int SAMPLE = 64;

    private static final int CALL_EVERY = 10;
    private static final String CALL = "GET /api/telemetry HTTP/1.1\r\nHost: x\r\n\r\n";
    private static final String DONE =
            "{\"type\":\"DONE\",\"n\":%d,\"job\":\"%s\",\"state\":\"done\",\"took\":9.5,\"data\":\"%s\"}\n";
    private static final String STATS =
            "{\"type\":\"STATS\",\"ref\":\"%s\",\"gauges\":[0.9,3,0.4,9]}\n";
    private static final String DATA = "cmVzdWx0".repeat(60);

    private final Site site;
    private final ArrayDeque<Runnable> timers = new ArrayDeque<>();
    private final ArrayDeque<String> running = new ArrayDeque<>();
    private final List<EmbeddedChannel> callers = new ArrayList<>();
    private final FastCgiFrontend front;
    private final AdminServer control;
    private final EmbeddedChannel engine;
    private double now;
    private int asked;
    private int answered;
    private int notices;

    JitWarmup(Site whole) {
        site = whole.first(SAMPLE);
        EngineLink link = new EngineLink(null, null, site.gaugeNames(), "", 0);
        Gateway gateway =
                new Gateway(
                        site,
                        1,
                        () -> now,
                        (ms, task) -> timers.add(task),
                        link,
                        OverloadController::new,
                        NOPLogger.NOP_LOGGER);
        front = new FastCgiFrontend(() -> now, gateway, Integer.MAX_VALUE, Double.MAX_VALUE);
        gateway.addFrontend(front);
        control = new AdminServer(gateway);
        link.setListener(gateway);
        engine = new EmbeddedChannel(link.handlers());
        for (int i = 0; i < CONNECTIONS; i++) {
            callers.add(new EmbeddedChannel(front.handlers()));
        }
    }

    /** Plays it all; returns how many of the requests were answered. */
    int play() {
        tell("{\"type\":\"HELLO\",\"state\":\"seasoned\",\"took\":1}\n");
        for (int step = 0; step < STEPS; step++) {
            now += STEP_MS;
            for (int i = 0; i < REQUESTS; i++) {
                callers.get(asked % CONNECTIONS).writeInbound(request());
            }
            listen();
            for (int i = 0; i < REQUESTS && step % 100 >= REST && !running.isEmpty(); i++) {
                tell(String.format(DONE, ++notices, running.remove(), DATA));
            }
            for (int due = timers.size(); due > 0; due--) {
                timers.remove().run();
            }
            listen();
            front.pass();
            callers.forEach(this::takeAnswers);
            if (step % CALL_EVERY == 0) {
                call();
            }
        }
        return answered;
    }

    /** An operator's call: the first real one is owed its answer within a second too. */
    private void call() {
        EmbeddedChannel operator = new EmbeddedChannel(control.handlers());
        operator.writeInbound(Unpooled.copiedBuffer(CALL, StandardCharsets.US_ASCII));
        operator.finishAndReleaseAll();
    }

    private void tell(String line) {
        engine.writeInbound(Unpooled.copiedBuffer(line, StandardCharsets.US_ASCII));
    }

    /** Reads what the gateway wrote to its engine. */
    private void listen() {
        for (ByteBuf line = engine.readOutbound(); line != null; line = engine.readOutbound()) {
            String text = line.toString(StandardCharsets.US_ASCII);
            line.release();
            String[] words = text.split("\"");
            if (text.contains("\"RUN\"")) {
                running.add(words[7]);
            } else if (text.contains("\"STAT\"")) {
                tell(String.format(STATS, words[7]));
            }
        }
    }

    private void takeAnswers(EmbeddedChannel caller) {
        for (ByteBuf answer = caller.readOutbound();
                answer != null;
                answer = caller.readOutbound()) {
            answered++;
            answer.release();
        }
    }

    /** The records of one request, each of them whole. */
    private ByteBuf request() {
        int number = 1 + asked / CONNECTIONS;
        List<String> tenants = site.tenantNames();
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("REQUEST_METHOD", "POST");
        fields.put("SCRIPT_NAME", "/v1/" + site.classNames().get(asked % site.classNames().size()));
        fields.put("HTTP_REQ_ID", String.format("%016x", ++asked));
        fields.put("HTTP_REQ_TIME", Long.toString((long) now));
        fields.put("HTTP_REQ_FROM", Integer.toString(asked % CONNECTIONS));
        fields.put("HTTP_REQ_OWNER", tenants.isEmpty() ? "" : tenants.get(asked % tenants.size()));
        fields.put("HTTP_REQ_KB", "24.5");
        fields.put("HTTP_REQ_RANK", "0." + asked % 10);
        int cls = (asked - 1) % site.classNames().size();
        if (site.settings().classes().get(cls).idempotency()
                == Controller.Idempotency.IDEMPOTENT_WITH_KEY) {
            fields.put("HTTP_REQ_TOKEN", String.format("%032x", asked));
        }
        ByteBuf pairs = Unpooled.buffer();
        fields.forEach(
                (name, value) -> {
                    pairs.writeByte(name.length()).writeByte(value.length());
                    ByteBufUtil.writeAscii(pairs, name + value);
                });
        ByteBuf out = Unpooled.buffer();
        record(out, 1, number, Unpooled.wrappedBuffer(new byte[] {0, 1, 1, 0, 0, 0, 0, 0}));
        record(out, 4, number, pairs);
        record(out, 4, number, Unpooled.EMPTY_BUFFER);
        record(out, 5, number, Unpooled.wrappedBuffer(new byte[500]));
        record(out, 5, number, Unpooled.EMPTY_BUFFER);
        return out;
    }

    private static void record(ByteBuf out, int type, int number, ByteBuf content) {
        out.writeByte(1)
                .writeByte(type)
                .writeShort(number)
                .writeShort(content.readableBytes())
                .writeShort(0);
        out.writeBytes(content);
    }
}
