package tinroad.lab.fake;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import tinroad.lab.schedule.Draw;
import tinroad.lab.script.Script;

/** The roster: hears reports over UDP, and has its news reach each proxy late. */
public final class FakeRegistry {
    private static final double LOOK_MS = 50;
    private static final String WORD = "HERE";

    private final LabContext world;
    private final List<ClientProxyModel> proxies;
    private final RegistryEntries list;
    private final UniformRandomProvider random;
    private final boolean[] told;
    private final long[][] newest;
    private long news;

    /** A roster on which all gateways stand, each up to now. */
    public FakeRegistry(LabContext world, List<ClientProxyModel> proxies) {
        this.world = world;
        this.proxies = proxies;
        Script script = world.plan.script();
        list =
                new RegistryEntries(
                        script.fleet().gateways(), script.roster().entryLifetimeMillis());
        random = Draw.stream(world.plan.seed(), "roster");
        told = new boolean[script.fleet().gateways()];
        newest = new long[proxies.size()][script.fleet().gateways()];
        allUp();
    }

    /**
     * The day begins: all gateways are up, every proxy knows it, and older news that are on their
     * way count no more.
     */
    public void allUp() {
        for (int g = 0; g < told.length; g++) {
            int gateway = g;
            told[g] = true;
            list.engineUp(g, world.now());
            proxies.forEach(p -> p.listed(gateway, true));
        }
    }

    /** Hears reports; blocks until it does. */
    public void listen(InetSocketAddress at) throws InterruptedException {
        new Bootstrap()
                .group(world.loop)
                .channel(NioDatagramChannel.class)
                .handler(
                        new SimpleChannelInboundHandler<DatagramPacket>() {
                            @Override
                            protected void channelRead0(
                                    ChannelHandlerContext ctx, DatagramPacket packet) {
                                String[] words =
                                        packet.content()
                                                .toString(StandardCharsets.US_ASCII)
                                                .split(" ");
                                int gateway =
                                        words.length == 3
                                                        && words[0].equals(WORD)
                                                        && words[1].matches("g\\d{1,2}")
                                                ? Integer.parseInt(words[1].substring(1))
                                                : told.length;
                                if (gateway < told.length) {
                                    heard(gateway, words[2].equals("on"));
                                } else {
                                    world.ledger.strange.add(
                                            "the roster was told: " + String.join(" ", words));
                                }
                            }

                            @Override
                            public void exceptionCaught(
                                    ChannelHandlerContext ctx, Throwable cause) {}
                        })
                .bind(at)
                .sync();
    }

    /** A report came. */
    public void heard(int gateway, boolean takesWork) {
        list.heard(gateway, takesWork, world.now());
        if (takesWork) {
            world.ledger.listed(gateway, world.now());
        }
    }

    /** Looks for changes from now on. */
    public void begin() {
        list.expire(world.now());
        Script.Roster late = world.plan.script().roster();
        for (int g = 0; g < told.length; g++) {
            if (list.takes(g) != told[g]) {
                told[g] = list.takes(g);
                int gateway = g;
                boolean takes = told[g];
                long number = ++news;
                for (int p = 0; p < proxies.size(); p++) {
                    int proxy = p;
                    double after =
                            late.minDelayMillis()
                                    + random.nextDouble()
                                            * (late.maxDelayMillis() - late.minDelayMillis());
                    world.agenda.at(
                            world.now() + after,
                            () -> {
                                // News that a later one overtook is no news.
                                if (number > newest[proxy][gateway]) {
                                    newest[proxy][gateway] = number;
                                    proxies.get(proxy).listed(gateway, takes);
                                }
                            });
                }
            }
        }
        world.agenda.at(world.now() + LOOK_MS, this::begin);
    }

    /** An engine came up. */
    public void engineUp(int gateway) {
        list.engineUp(gateway, world.now());
    }

    /** The roster is down, or back. */
    public void down(boolean down) {
        list.down(down, world.now());
    }
}
