package tinroad.lab.script;

import java.util.List;

/**
 * A lab script: the fleet, the load and the faults of one run. All times in ms from the beginning
 * of the load, all durations in ms, work in ms of a core at speed 1; shares from 0 to 1.
 *
 * @param title what the run shows, in one line
 * @param length for how long requests arrive
 * @param settle settling time: requests that arrive before it do not enter the metrics
 * @param members Zipf law of the members that send the requests
 * @param subjects Zipf law of the subjects of the requests
 */
public record Script(
        String title,
        double length,
        double settle,
        Fleet fleet,
        EngineModel engine,
        List<RequestClass> classes,
        Population members,
        Population subjects,
        Callers callers,
        Load load,
        Roster roster,
        List<Fault> faults) {

    /**
     * The gateways and their engines.
     *
     * @param cores of each engine
     * @param speeds of the engines' cores, assigned to the gateways in turn
     * @param memoryMb memory limit of a gateway
     * @param sockets descriptor limit of a gateway
     * @param shutdownGraceMillis time from the shutdown notice to the kill
     * @param sameName gateways that are misconfigured with the name of gateway 0
     */
    public record Fleet(
            int gateways,
            int zones,
            int cores,
            List<Double> speeds,
            int memoryMb,
            int sockets,
            double shutdownGraceMillis,
            List<Integer> sameName) {
        /** Capacity of all cores, in ms of work per ms. */
        public double power() {
            double sum = 0;
            for (int g = 0; g < gateways; g++) {
                sum += cores * speeds.get(g % speeds.size());
            }
            return sum;
        }
    }

    /**
     * The model of the engines' performance.
     *
     * @param law distribution of the work of a run around the mean of its class
     * @param sigma of the lognormal law
     * @param knee number of runs per core above which runs slow each other down
     * @param crowding additional work on the same cores for each run per core above the knee
     * @param cold share of full speed at the start
     * @param warmup time from the start to full speed
     * @param read work of reading a request, as a share of the mean work of its class
     * @param check work of a health check
     * @param handshake work of a new connection
     */
    public record EngineModel(
            ServiceTimeLaw law,
            double sigma,
            double knee,
            double crowding,
            double cold,
            double warmup,
            double read,
            double check,
            double handshake) {}

    /** Distributions of service time. */
    public enum ServiceTimeLaw {
        CONSTANT,
        EXPONENTIAL,
        LOGNORMAL
    }

    /**
     * A class of requests.
     *
     * @param part its share of all requests, relative to the parts of the other classes
     * @param work mean work of a run
     * @param objective latency objective
     * @param deadline from the sending of a try until it has to be answered
     * @param gain what a request that is served in time counts in the metrics
     * @param free whether a request may run more than once
     */
    public record RequestClass(
            String name,
            double part,
            double work,
            double objective,
            double deadline,
            double gain,
            boolean free) {}

    /** Number of members or subjects, and the exponent of their Zipf law; 0 is uniform. */
    public record Population(int count, double skew) {}

    /**
     * The client proxies.
     *
     * @param choice how a proxy selects a gateway
     * @param connections maximum number of connections to one gateway
     * @param streams open requests on a connection before another connection is opened
     * @param tryTimeoutShare timeout of one try, as a share of the deadline of its class
     * @param totalTimeoutFactor timeout of all tries together, as a multiple of that deadline
     * @param maxTries maximum number of tries; 0 is unlimited
     * @param retryPauseMillis pause before another try where the gateway advises none
     * @param heedingShare share of the proxies that follow the gateways' advice
     * @param triesNextAfterRejection whether a rejected request goes to the next gateway of the
     *     list without a pause, until all have been tried
     * @param healthCheckPeriodMillis period of the health checks of each gateway by each proxy; 0
     *     is none
     * @param idleTimeoutMillis idle connections are closed after this time
     * @param unawareShare share of the proxies that follow neither the registry nor health checks:
     *     they use each gateway for as long as it accepts connections
     */
    public record Callers(
            int proxies,
            Selection choice,
            int connections,
            int streams,
            double tryTimeoutShare,
            double totalTimeoutFactor,
            int maxTries,
            double retryPauseMillis,
            double heedingShare,
            boolean triesNextAfterRejection,
            double healthCheckPeriodMillis,
            double idleTimeoutMillis,
            double unawareShare) {}

    /** How a proxy selects a gateway. */
    public enum Selection {
        /** Each gateway in turn. */
        TURN,
        /** The gateway with the fewest open requests of this proxy. */
        LEAST,
        /** By a hash of the subject and the gateway. */
        SUBJECT
    }

    /**
     * Open-loop load, as a share of the capacity of all cores.
     *
     * @param waveAmplitude amplitude of a sine wave around the level, as a share of the level
     */
    public record Load(double level, double waveAmplitude, double wavePeriod, List<Jump> jumps) {
        /** The load at this time. */
        public double at(double millis) {
            for (Jump jump : jumps) {
                if (millis >= jump.at && millis < jump.at + jump.length) {
                    return jump.level;
                }
            }
            return level * (1 + waveAmplitude * StrictMath.sin(2 * Math.PI * millis / wavePeriod));
        }

        /** Upper bound of the load at any time. */
        public double peak() {
            return Math.max(
                    level * (1 + waveAmplitude),
                    jumps.stream().mapToDouble(Jump::level).max().orElse(0));
        }
    }

    /** A different load level for a limited time. */
    public record Jump(double at, double length, double level) {}

    /**
     * The service registry.
     *
     * @param minDelayMillis shortest delay of an update on its way to a proxy
     * @param maxDelayMillis longest delay of an update on its way to a proxy
     * @param entryLifetimeMillis an entry expires this long after the last report
     */
    public record Roster(
            double minDelayMillis, double maxDelayMillis, double entryLifetimeMillis) {}

    /** What a fault does. */
    public enum FaultAction {
        /** Gateway and engine are killed and restarted. */
        KILL,
        /** The gateway is killed and restarted; its engine keeps running. */
        KILL_GATEWAY,
        /** SIGTERM, and SIGKILL after the grace period; gateway and engine are restarted. */
        NOTICE,
        /** SIGSTOP, and SIGCONT at the end. */
        STOP,
        /** The engine crashes and restarts cold. */
        ENGINE_CRASH,
        /** The engine hangs: it neither runs requests nor answers. */
        ENGINE_PAUSE,
        /** A back end of the engine fails: runs crash. */
        ENGINE_SICK,
        /** The engine runs at {@code factor} of its speed. */
        ENGINE_SLOW,
        /**
         * The engine moves to another address; the gateways are notified by SIGHUP, except for
         * {@code unnotifiedShare} of them.
         */
        ENGINE_MOVE,
        /** The registry is down. */
        ROSTER_DOWN,
        /** The link silently stops forwarding. */
        CUT,
        /** The link resets its connections at the beginning, and new ones until the end. */
        RESET,
        /** The link forwards half of the next message, and then nothing. */
        HALF,
        /** The link adds a latency of {@code delay} and up to {@code jitter} more. */
        DELAY,
        /** The link forwards {@code rate} bytes per second. */
        THROTTLE,
        /** The link accepts connections, and reads and discards all data. */
        MUTE,
        /** The link refuses connections. */
        REFUSE,
        /** The link drops a share of {@code chance} of the datagrams. */
        LOSE,
        /** The link duplicates a share of {@code chance} of the datagrams. */
        REPEAT,
        /** The link delivers a share of {@code chance} of the datagrams after the next one. */
        REORDER;

        /** Whether it affects links, not processes. */
        public boolean toLinks() {
            return ordinal() >= CUT.ordinal();
        }

        /** Whether it ends a gateway process that is restarted later. */
        public boolean ends() {
            return this == KILL || this == KILL_GATEWAY || this == NOTICE;
        }
    }

    /** Links of a gateway. */
    public enum Link {
        CALLERS,
        CHECKS,
        ENGINE,
        ROSTER
    }

    /** Directions of a link: towards the gateway, away from it, or both. */
    public enum LinkDirection {
        IN,
        OUT,
        BOTH
    }

    /** Which state folder a restarted gateway finds. */
    public enum StateRetention {
        /** The folder that it left. */
        KEEP,
        /** None. */
        LOSE,
        /** A copy from before an earlier restart, or none if there is no copy. */
        OLD
    }

    /**
     * A fault of the script.
     *
     * @param action what it does
     * @param at when it begins
     * @param length how long it lasts, where it does not end a process
     * @param spreadMillis it reaches its targets at random times within this interval
     * @param gateways numbers of the gateways from which the targets are selected; empty is all
     * @param zone only gateways of this zone; -1 is any
     * @param share of the remaining gateways, which are drawn at random
     * @param links the affected links, where it affects links
     * @param direction of the affected links
     * @param callersZone only links from proxies of this zone; -1 is any
     * @param minAwayMillis shortest time from the end of a process to its restart
     * @param maxAwayMillis longest time from the end of a process to its restart
     * @param folder which state folder a restarted gateway finds
     * @param jar the program that is started then; "" is the same as before
     * @param factor share of the speed that a slow engine has
     * @param unnotifiedShare share of the targets that are not sent the signal
     * @param delay added latency of a link
     * @param jitter largest random addition to the delay
     * @param rate bytes per second of a throttled link
     * @param chance share of the affected datagrams
     * @param signals names of the signals that follow a shutdown notice, in this order
     * @param signalGap time between two of them; 0 sends them at the same time
     */
    public record Fault(
            FaultAction action,
            double at,
            double length,
            double spreadMillis,
            List<Integer> gateways,
            int zone,
            double share,
            List<Link> links,
            LinkDirection direction,
            int callersZone,
            double minAwayMillis,
            double maxAwayMillis,
            StateRetention folder,
            String jar,
            double factor,
            double unnotifiedShare,
            double delay,
            double jitter,
            double rate,
            double chance,
            List<String> signals,
            double signalGap) {
        /**
         * The text that enters the digest of a schedule. Digests compare results of different
         * builds, so this text uses the names of the first build.
         */
        @Override
        public String toString() {
            return "Trouble["
                    + "deed="
                    + action
                    + ", at="
                    + at
                    + ", length="
                    + length
                    + ", within="
                    + spreadMillis
                    + ", gateways="
                    + gateways
                    + ", zone="
                    + zone
                    + ", share="
                    + share
                    + ", links="
                    + links
                    + ", way="
                    + direction
                    + ", callersZone="
                    + callersZone
                    + ", backLeast="
                    + minAwayMillis
                    + ", backMost="
                    + maxAwayMillis
                    + ", folder="
                    + folder
                    + ", jar="
                    + jar
                    + ", factor="
                    + factor
                    + ", missed="
                    + unnotifiedShare
                    + ", delay="
                    + delay
                    + ", jitter="
                    + jitter
                    + ", rate="
                    + rate
                    + ", chance="
                    + chance
                    + ", signals="
                    + signals
                    + ", signalGap="
                    + signalGap
                    + "]";
        }
    }
}
