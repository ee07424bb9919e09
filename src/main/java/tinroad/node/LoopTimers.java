package tinroad.node;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import tinroad.core.Timers;

/** Runs timers on the event loop that owns the gateway's state; may be called on any thread. */
record LoopTimers(EventLoop loop) implements Timers {
    @Override
    public void after(double ms, Runnable task) {
        // The future is not needed: no timer is ever cancelled or waited for.
        Future<?> unused = loop.schedule(task, (long) (ms * 1e6), TimeUnit.NANOSECONDS);
    }
}
