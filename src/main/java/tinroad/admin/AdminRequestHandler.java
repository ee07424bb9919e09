package tinroad.admin;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tinroad.catalog.Catalog;
import tinroad.core.Gateway;
import tinroad.core.GatewayMetrics;
import tinroad.fleet.Membership;
import tinroad.recovery.RecoveryPhaseTracker;
import tinroad.recovery.RestoredState;

/** One connection of an operator: one call, its answer, and the end. */
final class AdminRequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    /** A caller that has not finished its call by then is given up on. */
    private static final long PATIENCE_MS = 5000;

    private static final JsonFactory JSON = new JsonFactory();
    private static final Logger LOG = LoggerFactory.getLogger("control");

    private final Gateway gateway;
    private final Supplier<Membership> fleet;
    private Future<?> patience;
    private boolean called;

    AdminRequestHandler(Gateway gateway, Supplier<Membership> fleet) {
        this.gateway = gateway;
        this.fleet = fleet;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        patience = ctx.executor().schedule(() -> ctx.close(), PATIENCE_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        patience.cancel(false);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest call) {
        // Guards against a second call in the same breath: the first one's answer ends the
        // connection.
        if (!called) {
            called = true;
            answer(ctx, answerTo(call));
        }
    }

    private FullHttpResponse answerTo(FullHttpRequest call) {
        if (call.decoderResult().isFailure()) {
            return text(HttpResponseStatus.BAD_REQUEST, "not a call");
        }
        String path = new QueryStringDecoder(call.uri()).path();
        HttpMethod method =
                switch (path) {
                    case "/api/ready",
                            "/api/telemetry",
                            "/api/recovery",
                            "/api/settings",
                            "/api/members" ->
                            HttpMethod.GET;
                    case "/api/evacuate", "/api/rejoin" -> HttpMethod.POST;
                    default -> null;
                };
        if (method == null) {
            return text(HttpResponseStatus.NOT_FOUND, "no such call");
        }
        if (!method.equals(call.method())) {
            FullHttpResponse wrong = text(HttpResponseStatus.METHOD_NOT_ALLOWED, "use " + method);
            wrong.headers().set(HttpHeaderNames.ALLOW, method.name());
            return wrong;
        }
        return switch (path) {
            case "/api/ready" ->
                    gateway.ready()
                            ? text(HttpResponseStatus.OK, "ready")
                            : text(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready");
            case "/api/telemetry" -> figures();
            case "/api/recovery" -> recovery();
            case "/api/settings" -> settings();
            case "/api/members" ->
                    fleet.get() == null
                            ? text(
                                    HttpResponseStatus.CONFLICT,
                                    "this gateway speaks with no others")
                            : members();
            case "/api/evacuate" -> {
                gateway.evacuate();
                yield text(HttpResponseStatus.OK, "draining");
            }
            default ->
                    gateway.rejoin()
                            ? text(HttpResponseStatus.OK, "back to work")
                            : text(HttpResponseStatus.CONFLICT, "this process is about to end");
        };
    }

    /** Writes the fields of a JSON object. */
    private interface Fields {
        void write(JsonGenerator json) throws IOException;
    }

    private static FullHttpResponse object(Fields fields) {
        ByteBuf body = Unpooled.buffer();
        try (JsonGenerator json =
                JSON.createGenerator((OutputStream) new ByteBufOutputStream(body))) {
            json.writeStartObject();
            fields.write(json);
            json.writeEndObject();
        } catch (IOException e) {
            // Can't happen: the buffer is memory, and grows as needed.
            throw new UncheckedIOException(e);
        }
        return response(HttpResponseStatus.OK, "application/json", body);
    }

    private FullHttpResponse figures() {
        List<GatewayMetrics.Row> rows = gateway.metrics().rows();
        return object(
                json -> {
                    byClass(json, "success", rows, GatewayMetrics.Row::served);
                    byClass(json, "busy", rows, GatewayMetrics.Row::rejected);
                    byClass(json, "failure", rows, GatewayMetrics.Row::failed);
                    json.writeNumberField("backend_calls", gateway.metrics().runs());
                    json.writeNumberField("inflight", gateway.inFlight());
                });
    }

    /** How the gateway comes back, and what it began with of earlier lives. */
    private FullHttpResponse recovery() {
        RecoveryPhaseTracker c = gateway.recoveryPhase();
        return object(
                json -> {
                    json.writeStringField("phase", c.phase().name().toLowerCase(Locale.ROOT));
                    json.writeNumberField("since_ms", Math.round(gateway.nowMillis() - c.since()));
                    json.writeStringField("why", c.reason());
                    number(json, "shown_per_s", c.demonstratedRatePerSecond());
                    number(json, "full_after_ms", c.fullAfterMillis());
                    json.writeNumberField("life", gateway.restoredState().incarnation());
                    json.writeStringField("began", gateway.restoredState().startMode());
                    json.writeArrayFieldStart("remembered");
                    for (Map.Entry<String, RestoredState.RestoredValue> e :
                            gateway.restoredValues().entrySet()) {
                        json.writeStartObject();
                        json.writeStringField("what", e.getKey());
                        json.writeNumberField("value", e.getValue().estimate().value());
                        json.writeNumberField("age_ms", Math.round(e.getValue().ageMillis()));
                        json.writeNumberField("life", e.getValue().incarnation());
                        json.writeEndObject();
                    }
                    json.writeEndArray();
                });
    }

    /**
     * Which version of classes and tenants is in force, since when, and what came of later ones.
     */
    private FullHttpResponse settings() {
        Catalog c = gateway.catalog();
        return object(
                json -> {
                    json.writeNumberField("epoch", c.epoch());
                    json.writeNumberField("number", c.number());
                    json.writeStringField("hash", c.contentHash());
                    json.writeNumberField("classes", c.classCount());
                    json.writeNumberField("tenants", c.tenantCount());
                    json.writeNumberField(
                            "since_ms",
                            Math.round(gateway.nowMillis() - gateway.catalogSinceMillis()));
                    json.writeNumberField("lag", gateway.pendingCatalogs());
                    json.writeNumberField(
                            "longest_slice_ms",
                            Math.round(1000 * gateway.longestSliceMillis()) / 1000.0);
                    json.writeStringField("refusal", gateway.lastRejection());
                    number(
                            json,
                            "refused_ms",
                            gateway.lastRejection() == null
                                    ? Double.NaN
                                    : gateway.nowMillis() - gateway.rejectedAtMillis());
                });
    }

    /** Who is held to be there, in which stay, since when and by whose word; itself first. */
    private FullHttpResponse members() {
        return object(
                json -> {
                    json.writeBooleanField("cut", fleet.get().suspectsPartition());
                    json.writeNumberField("doubts", fleet.get().healthPenalty());
                    json.writeArrayFieldStart("members");
                    for (Membership.MemberEntry l : fleet.get().entries(gateway.nowMillis())) {
                        json.writeStartObject();
                        json.writeStringField("name", l.update().name());
                        json.writeStringField(
                                "status", l.update().status().name().toLowerCase(Locale.ROOT));
                        json.writeStringField("zone", l.update().zone());
                        json.writeStringField("address", l.update().address());
                        json.writeNumberField("life", l.update().incarnation().process());
                        json.writeNumberField("since_ms", Math.round(l.sinceMillis()));
                        json.writeStringField("by", l.update().by());
                        json.writeEndObject();
                    }
                    json.writeEndArray();
                });
    }

    /** JSON has no infinite number and none that is absent: null stands for both. */
    private static void number(JsonGenerator json, String name, double value) throws IOException {
        if (Double.isFinite(value)) {
            json.writeNumberField(name, Math.round(10 * value) / 10.0);
        } else {
            json.writeNullField(name);
        }
    }

    private static void byClass(
            JsonGenerator json,
            String name,
            List<GatewayMetrics.Row> rows,
            ToLongFunction<GatewayMetrics.Row> count)
            throws IOException {
        json.writeObjectFieldStart(name);
        for (GatewayMetrics.Row row : rows) {
            json.writeNumberField(row.name(), count.applyAsLong(row));
        }
        json.writeEndObject();
    }

    private static FullHttpResponse text(HttpResponseStatus status, String text) {
        return response(
                status,
                "text/plain",
                Unpooled.copiedBuffer(text + '\n', StandardCharsets.US_ASCII));
    }

    private static FullHttpResponse response(HttpResponseStatus status, String type, ByteBuf body) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, type)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        HttpUtil.setContentLength(response, body.readableBytes());
        return response;
    }

    private static void answer(ChannelHandlerContext ctx, FullHttpResponse response) {
        ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    /** Exceptions stop here: they cost this connection and nothing else. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        LOG.debug("call failed", cause);
        ctx.close();
    }
}
