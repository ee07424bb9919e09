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
 * Synthetic requests that run through a gateway of their own, which is discarded, before the real
 * one listens. Guards the first seconds of service: the virtual machine compiles what it has seen
 * often, and on a fraction of a core that work would keep clients waiting. Opens no socket, and
 * writes no log line. Runs on the event loop, on virtual time.
 */
final class JitWarmup {
    /** In each step as many requests come as the fake engine completes, but for its pauses. */
    private static final int STEPS = 300;

    private static final double STEP_MILLIS = 5;
    private static final int REQUESTS_PER_STEP = 2;

    /** So many steps of every hundred the engine completes nothing: requests are queued. */
    private static final int PAUSED_STEPS_PER_HUNDRED = 8;

    private static final int CONNECTIONS = 8;

    /**
     * Bounds the classes and tenants of a large site that are used: what the virtual machine sees
     * does not grow with the rest.
     */
    static final int MAX_SAMPLE = 64;

    private static final int STEPS_PER_ADMIN_CALL = 10;
    private static final String ADMIN_CALL = "GET /api/telemetry HTTP/1.1\r\nHost: x\r\n\r\n";
    private static final String RESULT_BASE64 = "cmVzdWx0".repeat(60);

    /** Position of the request's id or the tag in a command, if it is split at the quotes. */
    private static final int ID_WORD = 7;

    // Records of FastCGI, version 1.
    private static final int FCGI_VERSION = 1;
    private static final int FCGI_BEGIN_REQUEST = 1;
    private static final int FCGI_PARAMS = 4;
    private static final int FCGI_STDIN = 5;
    private static final byte[] RESPONDER_KEEP_CONNECTION = {0, 1, 1, 0, 0, 0, 0, 0};
    private static final int BODY_BYTES = 500;

    private final Site site;
    private final ArrayDeque<Runnable> timers = new ArrayDeque<>();
    private final ArrayDeque<String> running = new ArrayDeque<>();
    private final List<EmbeddedChannel> clients = new ArrayList<>();
    private final FastCgiFrontend frontend;
    private final AdminServer admin;
    private final EmbeddedChannel engine;
    private double nowMillis;
    private int sent;
    private int answered;
    private int events;

    JitWarmup(Site fullSite) {
        site = fullSite.first(MAX_SAMPLE);
        EngineLink link = new EngineLink(null, null, site.gaugeNames(), "", 0);
        Gateway gateway =
                new Gateway(
                        site,
                        1,
                        () -> nowMillis,
                        (ms, task) -> timers.add(task),
                        link,
                        OverloadController::new,
                        NOPLogger.NOP_LOGGER);
        frontend =
                new FastCgiFrontend(() -> nowMillis, gateway, Integer.MAX_VALUE, Double.MAX_VALUE);
        gateway.addFrontend(frontend);
        admin = new AdminServer(gateway);
        link.setListener(gateway);
        engine = new EmbeddedChannel(link.handlers());
        for (int i = 0; i < CONNECTIONS; i++) {
            clients.add(new EmbeddedChannel(frontend.handlers()));
        }
    }

    /** Runs all steps; returns how many of the requests were answered. */
    int play() {
        sendEvent("{\"type\":\"HELLO\",\"state\":\"seasoned\",\"took\":1}\n");
        for (int step = 0; step < STEPS; step++) {
            nowMillis += STEP_MILLIS;
            for (int i = 0; i < REQUESTS_PER_STEP; i++) {
                clients.get(sent % CONNECTIONS).writeInbound(nextRequest());
            }
            readCommands();
            if (step % 100 >= PAUSED_STEPS_PER_HUNDRED) {
                completeRuns();
            }
            for (int due = timers.size(); due > 0; due--) {
                timers.remove().run();
            }
            readCommands();
            frontend.pass();
            clients.forEach(this::readResponses);
            if (step % STEPS_PER_ADMIN_CALL == 0) {
                callAdmin();
            }
        }
        return answered;
    }

    private void completeRuns() {
        for (int i = 0; i < REQUESTS_PER_STEP && !running.isEmpty(); i++) {
            sendEvent(
                    String.format(
                            "{\"type\":\"DONE\",\"n\":%d,\"job\":\"%s\",\"state\":\"done\","
                                    + "\"took\":9.5,\"data\":\"%s\"}\n",
                            ++events, running.remove(), RESULT_BASE64));
        }
    }

    /** An operator's call: the first real one must be answered within a second, too. */
    private void callAdmin() {
        EmbeddedChannel operator = new EmbeddedChannel(admin.handlers());
        operator.writeInbound(Unpooled.copiedBuffer(ADMIN_CALL, StandardCharsets.US_ASCII));
        operator.finishAndReleaseAll();
    }

    private void sendEvent(String line) {
        engine.writeInbound(Unpooled.copiedBuffer(line, StandardCharsets.US_ASCII));
    }

    /** Reads what the gateway wrote to its engine. */
    private void readCommands() {
        for (ByteBuf line = engine.readOutbound(); line != null; line = engine.readOutbound()) {
            String command = line.toString(StandardCharsets.US_ASCII);
            line.release();
            String[] words = command.split("\"", -1);
            if (command.contains("\"RUN\"")) {
                running.add(words[ID_WORD]);
            } else if (command.contains("\"STAT\"")) {
                sendEvent(
                        String.format(
                                "{\"type\":\"STATS\",\"ref\":\"%s\",\"gauges\":[0.9,3,0.4,9]}\n",
                                words[ID_WORD]));
            }
        }
    }

    private void readResponses(EmbeddedChannel client) {
        for (ByteBuf response = client.readOutbound();
                response != null;
                response = client.readOutbound()) {
            answered++;
            response.release();
        }
    }

    /** All records of one request. */
    private ByteBuf nextRequest() {
        int number = 1 + sent / CONNECTIONS;
        ByteBuf params = Unpooled.buffer();
        nextParams()
                .forEach(
                        (name, value) -> {
                            params.writeByte(name.length()).writeByte(value.length());
                            ByteBufUtil.writeAscii(params, name + value);
                        });
        ByteBuf records = Unpooled.buffer();
        writeRecord(
                records,
                FCGI_BEGIN_REQUEST,
                number,
                Unpooled.wrappedBuffer(RESPONDER_KEEP_CONNECTION));
        writeRecord(records, FCGI_PARAMS, number, params);
        writeRecord(records, FCGI_PARAMS, number, Unpooled.EMPTY_BUFFER);
        writeRecord(records, FCGI_STDIN, number, Unpooled.wrappedBuffer(new byte[BODY_BYTES]));
        writeRecord(records, FCGI_STDIN, number, Unpooled.EMPTY_BUFFER);
        return records;
    }

    private Map<String, String> nextParams() {
        List<String> tenants = site.tenantNames();
        int index = sent++;
        int requestClass = index % site.classNames().size();
        Map<String, String> params = new LinkedHashMap<>();
        params.put("REQUEST_METHOD", "POST");
        params.put("SCRIPT_NAME", "/v1/" + site.classNames().get(requestClass));
        params.put("HTTP_REQ_ID", String.format("%016x", sent));
        params.put("HTTP_REQ_TIME", Long.toString((long) nowMillis));
        params.put("HTTP_REQ_FROM", Integer.toString(sent % CONNECTIONS));
        params.put("HTTP_REQ_OWNER", tenants.isEmpty() ? "" : tenants.get(sent % tenants.size()));
        params.put("HTTP_REQ_KB", "24.5");
        params.put("HTTP_REQ_RANK", "0." + sent % 10);
        if (site.settings().classes().get(requestClass).idempotency()
                == Controller.Idempotency.IDEMPOTENT_WITH_KEY) {
            params.put("HTTP_REQ_TOKEN", String.format("%032x", sent));
        }
        return params;
    }

    private static void writeRecord(ByteBuf out, int type, int number, ByteBuf content) {
        out.writeByte(FCGI_VERSION)
                .writeByte(type)
                .writeShort(number)
                .writeShort(content.readableBytes())
                .writeShort(0);
        out.writeBytes(content);
    }
}
