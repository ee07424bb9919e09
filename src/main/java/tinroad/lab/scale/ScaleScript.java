package tinroad.lab.scale;

import java.util.List;

/**
 * The script of one sweep: one parameter grows, the others stay at their baseline. Times are in ms,
 * shares from 0 to 1.
 *
 * @param title what the sweep shows, in one line
 * @param sizes the values of the swept parameter, in rising order
 * @param measuredMillis how long each size is measured
 * @param settleTimeoutMillis the longest wait until all members know all others
 * @param deathTimeoutMillis the longest wait until all members know of a death
 * @param seed seed of everything random
 * @param baseline the parameters; that of the swept one is replaced by each size
 * @param fleet how the fleet is set up
 */
public record ScaleScript(
        String title,
        SweptParameter sweptParameter,
        List<Double> sizes,
        double measuredMillis,
        double settleTimeoutMillis,
        double deathTimeoutMillis,
        long seed,
        Parameters baseline,
        Fleet fleet) {
    /** The parameters that a sweep can vary. */
    public enum SweptParameter {
        GATEWAYS,
        CALLERS,
        TENANTS,
        ROUTES,
        RATE,
        CHANGES,
        LOSS
    }

    /**
     * The parameters of one size.
     *
     * @param gateways hollow and real ones together
     * @param tenants tenants in the settings
     * @param routes classes in the settings
     * @param callers clients that requests come from: a connection each as far as descriptors
     *     allow, the rest differ in their client number only
     * @param rate requests per second at each gateway with load
     * @param changesPerHour changes of the settings
     * @param loss share of the datagrams from or to a hollow gateway that are lost
     */
    public record Parameters(
            int gateways,
            int tenants,
            int routes,
            int callers,
            double rate,
            double changesPerHour,
            double loss) {}

    /**
     * The setup of the fleet.
     *
     * @param realPerProgram real gateways of each program; the first of them gets no load
     * @param hollowPerProcess the largest number of hollow gateways in one process
     * @param zoneDelayMillis one-way delay of datagrams between zones
     * @param regionDelayMillis one-way delay of datagrams between regions
     * @param cutMillis how long the first zone is cut off from the others, from the beginning of
     *     the measured time; 0 for no cut
     * @param enginesAwayShare share of the hollow gateways whose engine is away: they try to reach
     *     it and reload their settings
     * @param changePace factor by which the changes of an hour are accelerated
     * @param maxDescriptors a real gateway's limit of descriptors
     */
    public record Fleet(
            int realPerProgram,
            int hollowPerProcess,
            int zones,
            int regions,
            double zoneDelayMillis,
            double regionDelayMillis,
            double cutMillis,
            double enginesAwayShare,
            double changePace,
            int maxDescriptors) {}

    /** The parameters where the swept one has the value {@code x}. */
    public Parameters parametersAt(double x) {
        Parameters p = baseline;
        int n = (int) Math.round(x);
        return switch (sweptParameter) {
            case GATEWAYS ->
                    new Parameters(
                            n, p.tenants, p.routes, p.callers, p.rate, p.changesPerHour, p.loss);
            case CALLERS ->
                    new Parameters(
                            p.gateways, p.tenants, p.routes, n, p.rate, p.changesPerHour, p.loss);
            case TENANTS ->
                    new Parameters(
                            p.gateways, n, p.routes, p.callers, p.rate, p.changesPerHour, p.loss);
            case ROUTES ->
                    new Parameters(
                            p.gateways, p.tenants, n, p.callers, p.rate, p.changesPerHour, p.loss);
            case RATE ->
                    new Parameters(
                            p.gateways,
                            p.tenants,
                            p.routes,
                            p.callers,
                            x,
                            p.changesPerHour,
                            p.loss);
            case CHANGES ->
                    new Parameters(p.gateways, p.tenants, p.routes, p.callers, p.rate, x, p.loss);
            case LOSS ->
                    new Parameters(
                            p.gateways,
                            p.tenants,
                            p.routes,
                            p.callers,
                            p.rate,
                            p.changesPerHour,
                            x);
        };
    }

    /** The number of processes that a size takes with this many programs, at most. */
    public int maxProcesses(double x, int programs) {
        int hollow = parametersAt(x).gateways() - programs * fleet.realPerProgram;
        return programs * fleet.realPerProgram
                + Math.max(0, hollow + fleet.hollowPerProcess - 1) / fleet.hollowPerProcess;
    }
}
