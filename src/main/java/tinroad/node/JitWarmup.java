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
 * Warms up the JIT compiler: sends synthetic requests through a separate gateway, which is
 * discarded afterwards, before the real one listens. The virtual machine compiles code that runs
 * often; without the warm-up that would happen in the first seconds of service, where clients would
 * wait for it on a fraction of a core. Opens no socket and writes no log line. Runs on the event
 * loop, in virtual time.
 */
final class JitWarmup {
    /**
     * Number of simulated steps. In each of them as many requests arrive as the fake engine
     * completes, except while it pauses.
     */
    private static final int STEPS = 300;

    private static final double STEP_MILLIS = 5;
    private static final int REQUESTS_PER_STEP = 2;

    /** Steps out of every hundred in which the engine completes nothing, so that requests queue. */
    private static final int PAUSED_STEPS_PER_HUNDRED = 8;

    private static final int CONNECTIONS = 8;

    /**
     * Upper bound of the classes and of the tenants that are used of a large site: more of them
     * would not make the virtual machine compile more code.
     */
    static final int MAX_SAMPLED_ENTRIES = 64;

    private static final int STEPS_PER_ADMIN_CALL = 10;
    private static final String ADMIN_CALL = "GET /api/telemetry HTTP/1.1\r\nHost: x\r\n\r\n";
    private static final String RESULT_BASE64 = "cmVzdWx0".repeat(60);

    /**
     * Index of the request's id (in RUN) or of the reference (in STAT) after a command is split at
     * its quotes.
     */
    private static final int ID_PART_INDEX = 7;

    // Version and record types of FastCGI 1.0.
    private static final int FCGI_VERSION = 1;
    private static final int FCGI_BEGIN_REQUEST = 1;
    private static final int FCGI_PARAMS = 4;
    private static final int FCGI_STDIN = 5;
    private static final byte[] RESPONDER_KEEP_CONNECTION = {0, 1, 1, 0, 0, 0, 0, 0};
    private static final int BODY_BYTES = 500;

    private final Site site;
    private final ArrayDeque<Runnable> pendingTimers = new ArrayDeque<>();
    private final ArrayDeque<String> runningIds = new ArrayDeque<>();
    private final List<EmbeddedChannel> clientChannels = new ArrayList<>();
    private final FastCgiFrontend frontend;
    private final AdminServer admin;
    private final EmbeddedChannel engineChannel;
    private double nowMillis;
    private int sentCount;
    private int answeredCount;
    private int completionCount;

    JitWarmup(Site fullSite) {
        site = fullSite.first(MAX_SAMPLED_ENTRIES);
        EngineLink link = new EngineLink(null, null, site.gaugeNames(), "", 0);
        Gateway gateway =
                new Gateway(
                        site,
                        1,
                        () -> nowMillis,
                        (ms, task) -> pendingTimers.add(task),
                        link,
                        OverloadController::new,
                        NOPLogger.NOP_LOGGER);
        frontend =
                new FastCgiFrontend(() -> nowMillis, gateway, Integer.MAX_VALUE, Double.MAX_VALUE);
        gateway.addFrontend(frontend);
        admin = new AdminServer(gateway);
        link.setListener(gateway);
        engineChannel = new EmbeddedChannel(link.handlers());
        for (int i = 0; i < CONNECTIONS; i++) {
            clientChannels.add(new EmbeddedChannel(frontend.handlers()));
        }
    }

    /** Runs all steps and returns the number of responses. */
    int run() {
        sendEvent("{\"type\":\"HELLO\",\"state\":\"seasoned\",\"took\":1}\n");
        for (int step = 0; step < STEPS; step++) {
            nowMillis += STEP_MILLIS;
            for (int i = 0; i < REQUESTS_PER_STEP; i++) {
                clientChannels.get(sentCount % CONNECTIONS).writeInbound(nextRequest());
            }
            readCommands();
            if (step % 100 >= PAUSED_STEPS_PER_HUNDRED) {
                completeRuns();
            }
            for (int due = pendingTimers.size(); due > 0; due--) {
                pendingTimers.remove().run();
            }
            readCommands();
            frontend.sweep();
            clientChannels.forEach(this::readResponses);
            if (step % STEPS_PER_ADMIN_CALL == 0) {
                callAdmin();
            }
        }
        return answeredCount;
    }

    private void completeRuns() {
        for (int i = 0; i < REQUESTS_PER_STEP && !runningIds.isEmpty(); i++) {
            sendEvent(
                    String.format(
                            "{\"type\":\"DONE\",\"n\":%d,\"job\":\"%s\",\"state\":\"done\","
                                    + "\"took\":9.5,\"data\":\"%s\"}\n",
                            ++completionCount, runningIds.remove(), RESULT_BASE64));
        }
    }

    /**
     * Calls the admin endpoint once, as an operator would: the first real call must be answered
     * within a second, too.
     */
    private void callAdmin() {
        EmbeddedChannel operator = new EmbeddedChannel(admin.handlers());
        operator.writeInbound(Unpooled.copiedBuffer(ADMIN_CALL, StandardCharsets.US_ASCII));
        operator.finishAndReleaseAll();
    }

    private void sendEvent(String line) {
        engineChannel.writeInbound(Unpooled.copiedBuffer(line, StandardCharsets.US_ASCII));
    }

    /** Reads the commands that the gateway wrote to its engine, and answers STAT at once. */
    private void readCommands() {
        for (ByteBuf line = engineChannel.readOutbound();
                line != null;
                line = engineChannel.readOutbound()) {
            String command = line.toString(StandardCharsets.US_ASCII);
            line.release();
            String[] parts = command.split("\"", -1);
            if (command.contains("\"RUN\"")) {
                runningIds.add(parts[ID_PART_INDEX]);
            } else if (command.contains("\"STAT\"")) {
                sendEvent(
                        String.format(
                                "{\"type\":\"STATS\",\"ref\":\"%s\",\"gauges\":[0.9,3,0.4,9]}\n",
                                parts[ID_PART_INDEX]));
            }
        }
    }

    private void readResponses(EmbeddedChannel client) {
        for (ByteBuf response = client.readOutbound();
                response != null;
                response = client.readOutbound()) {
            answeredCount++;
            response.release();
        }
    }

    /** Returns all FastCGI records of the next request. */
    private ByteBuf nextRequest() {
        int fastCgiId = 1 + sentCount / CONNECTIONS;
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
                fastCgiId,
                Unpooled.wrappedBuffer(RESPONDER_KEEP_CONNECTION));
        writeRecord(records, FCGI_PARAMS, fastCgiId, params);
        writeRecord(records, FCGI_PARAMS, fastCgiId, Unpooled.EMPTY_BUFFER);
        writeRecord(records, FCGI_STDIN, fastCgiId, Unpooled.wrappedBuffer(new byte[BODY_BYTES]));
        writeRecord(records, FCGI_STDIN, fastCgiId, Unpooled.EMPTY_BUFFER);
        return records;
    }

    private Map<String, String> nextParams() {
        List<String> tenants = site.tenantNames();
        int requestIndex = sentCount++;
        int classIndex = requestIndex % site.classNames().size();
        Map<String, String> params = new LinkedHashMap<>();
        params.put("REQUEST_METHOD", "POST");
        params.put("SCRIPT_NAME", "/v1/" + site.classNames().get(classIndex));
        params.put("HTTP_REQ_ID", String.format("%016x", sentCount));
        params.put("HTTP_REQ_TIME", Long.toString((long) nowMillis));
        params.put("HTTP_REQ_FROM", Integer.toString(sentCount % CONNECTIONS));
        params.put(
                "HTTP_REQ_OWNER", tenants.isEmpty() ? "" : tenants.get(sentCount % tenants.size()));
        params.put("HTTP_REQ_KB", "24.5");
        params.put("HTTP_REQ_RANK", "0." + sentCount % 10);
        if (site.settings().classes().get(classIndex).idempotency()
                == Controller.Idempotency.IDEMPOTENT_WITH_KEY) {
            params.put("HTTP_REQ_TOKEN", String.format("%032x", sentCount));
        }
        return params;
    }

    private static void writeRecord(ByteBuf out, int type, int fastCgiId, ByteBuf content) {
        out.writeByte(FCGI_VERSION)
                .writeByte(type)
                .writeShort(fastCgiId)
                .writeShort(content.readableBytes())
                .writeShort(0);
        out.writeBytes(content);
    }
}
