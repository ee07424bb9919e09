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

/**
 * A fake service registry. Receives reports over UDP and passes changes on to each client proxy
 * with a random delay.
 */
public final class FakeRegistry {
    private static final double POLL_PERIOD_MILLIS = 50;
    private static final String REPORT_PREFIX = "HERE";

    private final LabContext context;
    private final List<ClientProxyModel> proxies;
    private final RegistryEntries entries;
    private final UniformRandomProvider random;
    private final boolean[] announced;
    private final long[][] lastDelivered;
    private long lastUpdate;

    /** Creates a registry on which all gateways are listed as taking work. */
    public FakeRegistry(LabContext context, List<ClientProxyModel> proxies) {
        this.context = context;
        this.proxies = proxies;
        Script script = context.schedule.script();
        entries =
                new RegistryEntries(
                        script.fleet().gateways(), script.roster().entryLifetimeMillis());
        random = Draw.stream(context.schedule.seed(), "roster");
        announced = new boolean[script.fleet().gateways()];
        lastDelivered = new long[proxies.size()][script.fleet().gateways()];
        allUp();
    }

    /**
     * Lists all gateways as taking work and notifies every proxy at once, as the load starts.
     * Updates that are still on their way don't count any more: the lab clears the event queue
     * before.
     */
    public void allUp() {
        for (int g = 0; g < announced.length; g++) {
            int gateway = g;
            announced[g] = true;
            entries.engineUp(g, context.now());
            proxies.forEach(p -> p.listed(gateway, true));
        }
    }

    /** Opens the socket for reports; blocks until it is bound. */
    public void listen(InetSocketAddress at) throws InterruptedException {
        new Bootstrap()
                .group(context.loop)
                .channel(NioDatagramChannel.class)
                .handler(
                        new SimpleChannelInboundHandler<DatagramPacket>() {
                            @Override
                            protected void channelRead0(
                                    ChannelHandlerContext ctx, DatagramPacket packet) {
                                String[] fields =
                                        packet.content()
                                                .toString(StandardCharsets.US_ASCII)
                                                .split(" ");
                                int gateway =
                                        fields.length == 3
                                                        && fields[0].equals(REPORT_PREFIX)
                                                        && fields[1].matches("g\\d{1,2}")
                                                ? Integer.parseInt(fields[1].substring(1))
                                                : announced.length;
                                if (gateway < announced.length) {
                                    heard(gateway, fields[2].equals("on"));
                                } else {
                                    context.history.strange.add(
                                            "the registry received an unknown report: "
                                                    + String.join(" ", fields));
                                }
                            }

                            @Override
                            public void exceptionCaught(
                                    ChannelHandlerContext ctx, Throwable cause) {}
                        })
                .bind(at)
                .sync();
    }

    /** A report of a gateway arrived. */
    public void heard(int gateway, boolean takesWork) {
        entries.heard(gateway, takesWork, context.now());
        if (takesWork) {
            context.history.listed(gateway, context.now());
        }
    }

    /** Passes changes of the entries on to the proxies, now and periodically from then on. */
    public void begin() {
        entries.expire(context.now());
        Script.Roster roster = context.schedule.script().roster();
        for (int g = 0; g < announced.length; g++) {
            if (entries.takesWork(g) != announced[g]) {
                announced[g] = entries.takesWork(g);
                int gateway = g;
                boolean takesWork = announced[g];
                long number = ++lastUpdate;
                for (int p = 0; p < proxies.size(); p++) {
                    int proxy = p;
                    double delayMillis =
                            roster.minDelayMillis()
                                    + random.nextDouble()
                                            * (roster.maxDelayMillis() - roster.minDelayMillis());
                    context.events.at(
                            context.now() + delayMillis,
                            () -> {
                                // A newer update may have arrived first; this one is outdated then.
                                if (number > lastDelivered[proxy][gateway]) {
                                    lastDelivered[proxy][gateway] = number;
                                    proxies.get(proxy).listed(gateway, takesWork);
                                }
                            });
                }
            }
        }
        context.events.at(context.now() + POLL_PERIOD_MILLIS, this::begin);
    }

    /** The engine of a gateway came up. */
    public void engineUp(int gateway) {
        entries.engineUp(gateway, context.now());
    }

    /** Takes the registry down, or brings it back. */
    public void down(boolean down) {
        entries.down(down, context.now());
    }
}
