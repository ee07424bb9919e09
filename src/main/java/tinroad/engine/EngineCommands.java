package tinroad.engine;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;

/**
 * Writes commands to a connection, each a line. A write that fails ends the connection, which
 * reports what was sent on it; so no write has a future of its own.
 */
final class EngineCommands {
    private static final JsonFactory JSON = new JsonFactory();

    private EngineCommands() {}

    private interface Fields {
        void write(JsonGenerator json) throws IOException;
    }

    /** Requests all events after this one; the first command on a connection. */
    static void attach(ChannelHandlerContext to, long lastEventNumber) {
        send(
                to,
                EngineProtocol.ATTACH,
                json -> json.writeNumberField(EngineProtocol.NUMBER, lastEventNumber));
    }

    /** Has the engine run a request, with its body. */
    static void run(ChannelHandlerContext to, String id, String requestClass, ByteBuf body) {
        send(
                to,
                EngineProtocol.RUN,
                json -> {
                    json.writeStringField(EngineProtocol.REQUEST_ID, id);
                    json.writeStringField(EngineProtocol.REQUEST_CLASS, requestClass);
                    json.writeFieldName(EngineProtocol.BODY);
                    json.writeBinary(
                            new ByteBufInputStream(body.duplicate()), body.readableBytes());
                });
    }

    /** Requests the gauges; the tag comes back with them. */
    static void requestGauges(ChannelHandlerContext to, String tag) {
        send(
                to,
                EngineProtocol.REQUEST_GAUGES,
                json -> json.writeStringField(EngineProtocol.TAG, tag));
    }

    private static void send(ChannelHandlerContext to, String type, Fields fields) {
        ByteBuf line = to.alloc().buffer();
        try (JsonGenerator json =
                JSON.createGenerator((OutputStream) new ByteBufOutputStream(line))) {
            json.writeStartObject();
            json.writeStringField(EngineProtocol.TYPE, type);
            fields.write(json);
            json.writeEndObject();
            json.writeRaw('\n');
        } catch (IOException e) {
            // Can't happen: the buffer is memory, and grows as needed.
            line.release();
            throw new UncheckedIOException(e);
        } catch (RuntimeException | OutOfMemoryError e) {
            line.release();
            throw e;
        }
        ChannelFuture unused = to.writeAndFlush(line, to.voidPromise());
    }
}
