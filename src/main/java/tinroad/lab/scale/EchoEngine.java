package tinroad.lab.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * An engine that completes each run as soon as it receives the command, so that the time of a
 * request is the gateway's alone. The lab's other engine completes runs on a tick of 1 ms, which is
 * as coarse as the times measured here.
 */
final class EchoEngine {
    static final List<String> GAUGE_NAMES = List.of("core_use", "on_cores", "heap_share", "links");
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_LINE_BYTES = 64 * 1024;
    private static final double UPTIME_MILLIS = 3_600_000;
    private static final double RUN_MILLIS = 0.1;

    private EchoEngine() {}

    /** Starts listening; blocks until the socket is bound. */
    static void listen(EventLoopGroup group, InetSocketAddress address)
            throws InterruptedException {
        new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                channel.pipeline()
                                        .addLast(
                                                new LineBasedFrameDecoder(MAX_LINE_BYTES),
                                                new CommandHandler());
                            }
                        })
                .bind(address)
                .sync();
    }

    private static final class CommandHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private long lastEventNumber;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) throws IOException {
            JsonNode command;
            try (InputStream in = new ByteBufInputStream(line)) {
                command = JSON.readTree(in);
            }
            ObjectNode answer = JSON.createObjectNode();
            switch (command.path("type").asText()) {
                case "ATTACH" -> {
                    lastEventNumber = command.path("n").asLong();
                    answer.put("type", "HELLO").put("state", "seasoned").put("took", UPTIME_MILLIS);
                }
                case "RUN" ->
                        answer.put("type", "DONE")
                                .put("n", ++lastEventNumber)
                                .put("job", command.path("job").asText())
                                .put("state", "done")
                                .put("took", RUN_MILLIS)
                                .put("data", command.path("data").asText());
                default -> {
                    answer.put("type", "STATS").put("ref", command.path("ref").asText());
                    answer.putArray("gauges").add(0.1).add(0.0).add(0.1).add(10.0);
                }
            }
            ctx.writeAndFlush(Unpooled.copiedBuffer(answer + "\n", StandardCharsets.UTF_8));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
