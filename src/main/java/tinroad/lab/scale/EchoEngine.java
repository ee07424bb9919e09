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
 * An engine that ends each run as soon as it hears of it: what a request takes is then the
 * gateway's own. The lab's other engine ends runs on a tick of a millisecond, which is as coarse as
 * what is measured here.
 */
final class EchoEngine {
    static final List<String> METERS = List.of("core_use", "on_cores", "heap_share", "links");
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int LONGEST_LINE = 64 * 1024;
    private static final double UP_BEFORE = 3_600_000;
    private static final double TOOK = 0.1;

    private EchoEngine() {}

    /** Listens; blocks until it does. */
    static void listen(EventLoopGroup group, InetSocketAddress at) throws InterruptedException {
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
                                                new LineBasedFrameDecoder(LONGEST_LINE),
                                                new Commands());
                            }
                        })
                .bind(at)
                .sync();
    }

    private static final class Commands extends SimpleChannelInboundHandler<ByteBuf> {
        private long notices;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) throws IOException {
            JsonNode command;
            try (InputStream in = new ByteBufInputStream(line)) {
                command = JSON.readTree(in);
            }
            ObjectNode answer = JSON.createObjectNode();
            switch (command.path("type").asText()) {
                case "ATTACH" -> {
                    notices = command.path("n").asLong();
                    answer.put("type", "HELLO").put("state", "seasoned").put("took", UP_BEFORE);
                }
                case "RUN" ->
                        answer.put("type", "DONE")
                                .put("n", ++notices)
                                .put("job", command.path("job").asText())
                                .put("state", "done")
                                .put("took", TOOK)
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
