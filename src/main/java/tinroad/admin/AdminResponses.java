package tinroad.admin;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** Builds the responses of the admin endpoint: a line of text or a JSON object. */
final class AdminResponses {
    private static final String TEXT = "text/plain";
    private static final String JSON = "application/json";
    private static final JsonFactory JSON_FACTORY = new JsonFactory();

    private AdminResponses() {}

    /** Writes the fields of a JSON object. */
    interface Fields {
        void write(JsonGenerator json) throws IOException;
    }

    static FullHttpResponse text(HttpResponseStatus status, String text) {
        return response(
                status, TEXT, Unpooled.copiedBuffer(text + '\n', StandardCharsets.US_ASCII));
    }

    static FullHttpResponse json(Fields fields) {
        ByteBuf body = Unpooled.buffer();
        try (JsonGenerator json =
                JSON_FACTORY.createGenerator((OutputStream) new ByteBufOutputStream(body))) {
            json.writeStartObject();
            fields.write(json);
            json.writeEndObject();
        } catch (IOException e) {
            // Can't happen: the buffer is in memory and grows as needed.
            throw new UncheckedIOException(e);
        }
        return response(HttpResponseStatus.OK, JSON, body);
    }

    /**
     * Writes a number with one decimal. An infinite number and NaN, which JSON does not have, are
     * written as null.
     */
    static void writeNumber(JsonGenerator json, String name, double value) throws IOException {
        if (Double.isFinite(value)) {
            json.writeNumberField(name, Math.round(10 * value) / 10.0);
        } else {
            json.writeNullField(name);
        }
    }

    private static FullHttpResponse response(HttpResponseStatus status, String type, ByteBuf body) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, type)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        HttpUtil.setContentLength(response, body.readableBytes());
        return response;
    }
}
