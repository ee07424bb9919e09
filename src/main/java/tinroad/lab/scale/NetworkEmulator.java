package tinroad.lab.scale;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.DatagramPacket;
import io.netty.util.ReferenceCountUtil;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Emulates the network between zones, as a handler between a hollow gateway's socket and its
 * transport: it counts datagrams, and drops or delays them by the zones of both ends. It drops what
 * it receives and what it sends to a real gateway, so that the loss applies once to each datagram.
 * Owned by the event loop.
 */
final class NetworkEmulator extends ChannelDuplexHandler {
    /** Bytes of the IPv4 and UDP headers, which a network transmits, too. */
    static final int HEADER_BYTES = 28;

    /** Datagrams and bytes so far. */
    static final class TrafficCounter {
        long datagrams;
        long bytes;

        void add(DatagramPacket packet) {
            datagrams++;
            bytes += packet.content().readableBytes() + HEADER_BYTES;
        }
    }

    private final Topology topology;
    private final int ownNumber;
    private final double lossShare;
    private final double zoneDelayMillis;
    private final double regionDelayMillis;
    private final SplittableRandom random;
    final TrafficCounter in = new TrafficCounter();
    final TrafficCounter out = new TrafficCounter();

    /** Traffic from and to each real gateway, by its number. */
    final TrafficCounter[] fromReal;

    final TrafficCounter[] toReal;
    private boolean silenced;
    private int isolatedZone = -1;

    NetworkEmulator(
            Topology topology,
            int ownNumber,
            double lossShare,
            double zoneDelayMillis,
            double regionDelayMillis,
            long seed) {
        this.topology = topology;
        this.ownNumber = ownNumber;
        this.lossShare = lossShare;
        this.zoneDelayMillis = zoneDelayMillis;
        this.regionDelayMillis = regionDelayMillis;
        random = new SplittableRandom(seed * 1_000_003 + ownNumber);
        fromReal = newCounters(topology.real().size());
        toReal = newCounters(topology.real().size());
    }

    private static TrafficCounter[] newCounters(int count) {
        TrafficCounter[] counters = new TrafficCounter[count];
        for (int i = 0; i < count; i++) {
            counters[i] = new TrafficCounter();
        }
        return counters;
    }

    /** Drops everything from now on: the other members detect a dead one. */
    void silence() {
        silenced = true;
    }

    /** Cuts this zone off from all others; -1 ends the cut. */
    void isolateZone(int zone) {
        isolatedZone = zone;
    }

    private boolean shouldDrop(int peer) {
        boolean separated =
                isolatedZone >= 0
                        && peer >= 0
                        && topology.zone(peer) != topology.zone(ownNumber)
                        && (topology.zone(peer) == isolatedZone
                                || topology.zone(ownNumber) == isolatedZone);
        return silenced || separated || (lossShare > 0 && random.nextDouble() < lossShare);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        DatagramPacket packet = (DatagramPacket) msg;
        int peer = topology.numberOf(packet.sender());
        if (peer >= 0 && peer < fromReal.length) {
            fromReal[peer].add(packet);
        }
        if (shouldDrop(peer)) {
            ReferenceCountUtil.release(msg);
            return;
        }
        in.add(packet);
        double delayMillis =
                peer < 0 || topology.zone(peer) == topology.zone(ownNumber)
                        ? 0
                        : topology.region(peer) == topology.region(ownNumber)
                                ? zoneDelayMillis
                                : regionDelayMillis;
        if (delayMillis > 0) {
            ctx.executor()
                    .schedule(
                            () -> ctx.fireChannelRead(msg),
                            (long) (delayMillis * 1e6),
                            TimeUnit.NANOSECONDS);
        } else {
            ctx.fireChannelRead(msg);
        }
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) {
        DatagramPacket packet = (DatagramPacket) msg;
        int peer = topology.numberOf(packet.recipient());
        boolean real = peer >= 0 && peer < toReal.length;
        out.add(packet);
        if (silenced || (real && shouldDrop(peer))) {
            ReferenceCountUtil.release(msg);
            promise.setSuccess();
            return;
        }
        if (real) {
            toReal[peer].add(packet);
        }
        ctx.write(msg, promise);
    }
}
