package tinroad.lab.scale;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.DatagramPacket;
import io.netty.util.ReferenceCountUtil;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Stands between a hollow gateway's socket and its carrier: counts what goes through, and loses,
 * delays or cuts it by the zones of both ends. What comes is lost here, and what goes to a real
 * gateway, so that each datagram is drawn for once. Owned by the event loop.
 */
final class ZoneWire extends ChannelDuplexHandler {
    /** Bytes of the headers of IPv4 and UDP: on a network they are paid for, too. */
    static final int HEADERS = 28;

    /** What has gone through so far. */
    static final class Count {
        long datagrams;
        long bytes;

        void add(DatagramPacket packet) {
            datagrams++;
            bytes += packet.content().readableBytes() + HEADERS;
        }
    }

    private final Zones zones;
    private final int self;
    private final double loss;
    private final double delay;
    private final double regionDelay;
    private final SplittableRandom random;
    final Count in = new Count();
    final Count out = new Count();

    /** By real gateway: what came from it, and what went to it. */
    final Count[] fromReal;

    final Count[] toReal;
    private boolean muted;
    private int cutZone = -1;

    ZoneWire(Zones zones, int self, double loss, double delay, double regionDelay, long seed) {
        this.zones = zones;
        this.self = self;
        this.loss = loss;
        this.delay = delay;
        this.regionDelay = regionDelay;
        random = new SplittableRandom(seed * 1_000_003 + self);
        fromReal = counts(zones.real().size());
        toReal = counts(zones.real().size());
    }

    private static Count[] counts(int n) {
        Count[] all = new Count[n];
        for (int i = 0; i < n; i++) {
            all[i] = new Count();
        }
        return all;
    }

    /** Nothing goes through any more: to the others it is dead. */
    void mute() {
        muted = true;
    }

    /** This zone hears no other one, and is not heard; -1 is none. */
    void cut(int zone) {
        cutZone = zone;
    }

    private boolean lost(int peer) {
        boolean cut =
                cutZone >= 0
                        && peer >= 0
                        && zones.zone(peer) != zones.zone(self)
                        && (zones.zone(peer) == cutZone || zones.zone(self) == cutZone);
        return muted || cut || (loss > 0 && random.nextDouble() < loss);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        DatagramPacket packet = (DatagramPacket) msg;
        int peer = zones.number(packet.sender());
        if (peer >= 0 && peer < fromReal.length) {
            fromReal[peer].add(packet);
        }
        if (lost(peer)) {
            ReferenceCountUtil.release(msg);
            return;
        }
        in.add(packet);
        double late =
                peer < 0 || zones.zone(peer) == zones.zone(self)
                        ? 0
                        : zones.region(peer) == zones.region(self) ? delay : regionDelay;
        if (late > 0) {
            ctx.executor()
                    .schedule(
                            () -> ctx.fireChannelRead(msg),
                            (long) (late * 1e6),
                            TimeUnit.NANOSECONDS);
        } else {
            ctx.fireChannelRead(msg);
        }
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) {
        DatagramPacket packet = (DatagramPacket) msg;
        int peer = zones.number(packet.recipient());
        boolean real = peer >= 0 && peer < toReal.length;
        out.add(packet);
        if (muted || (real && lost(peer))) {
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
