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
 * Writes commands to a connection to the engine, one line for each. A write that fails closes the
 * connection, and that is reported for everything sent on it, so no write needs a future of its
 * own.
 */
final class EngineCommands {
    private static final JsonFactory JSON = new JsonFactory();

    private EngineCommands() {}

    private interface FieldWriter {
        void write(JsonGenerator json) throws IOException;
    }

    /** Requests all events after this one; must be the first command on a connection. */
    static void attach(ChannelHandlerContext connection, long lastEventNumber) {
        send(
                connection,
                EngineProtocol.ATTACH,
                json -> json.writeNumberField(EngineProtocol.NUMBER, lastEventNumber));
    }

    /** Commands the engine to run a request with this body. */
    static void run(
            ChannelHandlerContext connection, String id, String requestClass, ByteBuf body) {
        send(
                connection,
                EngineProtocol.RUN,
                json -> {
                    json.writeStringField(EngineProtocol.REQUEST_ID, id);
                    json.writeStringField(EngineProtocol.REQUEST_CLASS, requestClass);
                    json.writeFieldName(EngineProtocol.BODY);
                    json.writeBinary(
                            new ByteBufInputStream(body.duplicate()), body.readableBytes());
                });
    }

    /** Requests the gauges; the reply carries the same tag. */
    static void requestGauges(ChannelHandlerContext connection, String tag) {
        send(
                connection,
                EngineProtocol.REQUEST_GAUGES,
                json -> json.writeStringField(EngineProtocol.TAG, tag));
    }

    private static void send(
            ChannelHandlerContext connection, String type, FieldWriter fieldWriter) {
        ByteBuf line = connection.alloc().buffer();
        try (JsonGenerator json =
                JSON.createGenerator((OutputStream) new ByteBufOutputStream(line))) {
            json.writeStartObject();
            json.writeStringField(EngineProtocol.TYPE, type);
            fieldWriter.write(json);
            json.writeEndObject();
            json.writeRaw('\n');
        } catch (IOException e) {
            // Can't happen: the buffer is in memory and grows as needed.
            line.release();
            throw new UncheckedIOException(e);
        } catch (RuntimeException | OutOfMemoryError e) {
            line.release();
            throw e;
        }
        ChannelFuture unused = connection.writeAndFlush(line, connection.voidPromise());
    }
}
