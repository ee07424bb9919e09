package tinroad.lab.scale;

import java.util.List;

/**
 * One sweep, as its script has it: one thing grows, the others are held. Times in ms, shares from 0
 * to 1.
 *
 * @param title what it shows, one line
 * @param sizes of what grows, in rising order
 * @param seconds measured at each size, in ms
 * @param settle until all know all, at most
 * @param death how long the news of a death is waited for, at most
 * @param seed decides all that is random
 * @param held what does not grow
 */
public record Scale(
        String title,
        Sweep sweep,
        List<Double> sizes,
        double seconds,
        double settle,
        double death,
        long seed,
        Held held,
        Fleet fleet) {
    /** What may grow. */
    public enum Sweep {
        GATEWAYS,
        CALLERS,
        TENANTS,
        ROUTES,
        RATE,
        CHANGES,
        LOSS
    }

    /**
     * The size of each thing.
     *
     * @param gateways hollow and real ones together
     * @param tenants of the settings
     * @param routes classes of the settings
     * @param callers that requests come from: connections as descriptors allow, the rest as
     *     identities
     * @param rate requests a second at each loaded gateway
     * @param changes of the settings in an hour
     * @param loss share of the datagrams from or to a hollow gateway that are lost
     */
    public record Held(
            int gateways,
            int tenants,
            int routes,
            int callers,
            double rate,
            double changes,
            double loss) {}

    /**
     * How the fleet is made.
     *
     * @param real real gateways of each program; the first of them gets no load
     * @param perProcess hollow ones that share a process, at most
     * @param delay of datagrams between zones, one way
     * @param regionDelay the same between regions
     * @param cut so long, from the beginning of what is measured, the first zone is cut off from
     *     the others; 0 is never
     * @param enginesAway share of the hollow gateways whose engine is gone: they try to reach it,
     *     and read their settings again
     * @param pace the changes of an hour come so many times as fast
     * @param sockets a real gateway's limit of descriptors
     */
    public record Fleet(
            int real,
            int perProcess,
            int zones,
            int regions,
            double delay,
            double regionDelay,
            double cut,
            double enginesAway,
            double pace,
            int sockets) {}

    /** All sizes where what grows has reached {@code x}. */
    public Held at(double x) {
        Held h = held;
        int n = (int) Math.round(x);
        return switch (sweep) {
            case GATEWAYS -> new Held(n, h.tenants, h.routes, h.callers, h.rate, h.changes, h.loss);
            case CALLERS -> new Held(h.gateways, h.tenants, h.routes, n, h.rate, h.changes, h.loss);
            case TENANTS -> new Held(h.gateways, n, h.routes, h.callers, h.rate, h.changes, h.loss);
            case ROUTES -> new Held(h.gateways, h.tenants, n, h.callers, h.rate, h.changes, h.loss);
            case RATE -> new Held(h.gateways, h.tenants, h.routes, h.callers, x, h.changes, h.loss);
            case CHANGES -> new Held(h.gateways, h.tenants, h.routes, h.callers, h.rate, x, h.loss);
            case LOSS -> new Held(h.gateways, h.tenants, h.routes, h.callers, h.rate, h.changes, x);
        };
    }

    /** The most processes that a size takes with so many programs. */
    public int processes(double x, int programs) {
        int hollow = at(x).gateways() - programs * fleet.real;
        return programs * fleet.real
                + Math.max(0, hollow + fleet.perProcess - 1) / fleet.perProcess;
    }
}
