package tinroad.lab.script;

import java.util.List;

/**
 * One day of the lab, as its script has it. All times in ms from the beginning of the load, all
 * durations in ms, work in ms of a core at speed 1; shares from 0 to 1.
 *
 * @param title what it shows, one line
 * @param length how long requests come
 * @param settle load before the first moment that counts
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
     * @param speeds of the engines' cores, in turn over the gateways
     * @param memoryMb a gateway's limit
     * @param sockets a gateway's limit of descriptors
     * @param shutdownGraceMillis time from the notice to the kill
     * @param sameName gateways that bear the name of gateway 0, by mistake
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
        /** What all cores can do, in ms of work a ms. */
        public double power() {
            double sum = 0;
            for (int g = 0; g < gateways; g++) {
                sum += cores * speeds.get(g % speeds.size());
            }
            return sum;
        }
    }

    /**
     * How the engines work.
     *
     * @param law of a run's work about its class's mean
     * @param sigma of the lognormal law
     * @param knee runs on a core past which they slow each other down
     * @param crowding how much work of the same cores each run on a core beyond the knee costs
     * @param cold share of the speed at a start
     * @param warmup time to full speed
     * @param read work of reading a request, as a share of its class's mean
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

    /** Laws of service time. */
    public enum ServiceTimeLaw {
        CONSTANT,
        EXPONENTIAL,
        LOGNORMAL
    }

    /**
     * A class of requests.
     *
     * @param part of all requests, beside the others' parts
     * @param work mean
     * @param free whether it may run twice
     */
    public record RequestClass(
            String name,
            double part,
            double work,
            double objective,
            double deadline,
            double gain,
            boolean free) {}

    /** Members or subjects: how many, and the exponent of their Zipf law; 0 is even. */
    public record Population(int count, double skew) {}

    /**
     * The client proxies.
     *
     * @param connections to one gateway, at most
     * @param streams open requests that a connection carries before another is opened
     * @param tryTimeoutShare for one try, as a share of its class's deadline
     * @param totalTimeoutFactor for all tries together, as a multiple of the class's deadline
     * @param maxTries at most; 0 is without limit
     * @param retryPauseMillis before another try where nothing tells when
     * @param heedingShare share of the proxies that heed advice
     * @param triesNextAfterRejection whether they go down the list after a refusal, without a
     *     pause, until all were asked
     * @param healthCheckPeriodMillis period of health checks by each proxy at each gateway; 0 is
     *     none
     * @param idleTimeoutMillis connections are closed after so long
     * @param unawareShare share of the proxies that follow neither the roster's news nor health
     *     checks: they use each gateway for as long as it has a connection to give
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

    /** How a proxy chooses a gateway. */
    public enum Selection {
        TURN,
        LEAST,
        SUBJECT
    }

    /**
     * Load in open loop, as shares of what the cores can do.
     *
     * @param waveAmplitude of a wave about the level, as a share of it
     */
    public record Load(double level, double waveAmplitude, double wavePeriod, List<Jump> jumps) {
        /** The share asked for at this time. */
        public double at(double t) {
            for (Jump jump : jumps) {
                if (t >= jump.at && t < jump.at + jump.length) {
                    return jump.level;
                }
            }
            return level * (1 + waveAmplitude * Math.sin(2 * Math.PI * t / wavePeriod));
        }

        /** The most that is asked for at any time. */
        public double peak() {
            return Math.max(
                    level * (1 + waveAmplitude),
                    jumps.stream().mapToDouble(Jump::level).max().orElse(0));
        }
    }

    /** Another level for a while. */
    public record Jump(double at, double length, double level) {}

    /** The roster: news reach each proxy so late; an entry lapses so long after the last report. */
    public record Roster(
            double minDelayMillis, double maxDelayMillis, double entryLifetimeMillis) {}

    /** What a fault does. */
    public enum FaultAction {
        /** Gateway and engine are killed, and come back. */
        KILL,
        /** The gateway is killed, its engine lives; it comes back. */
        KILL_GATEWAY,
        /** SIGTERM, SIGKILL at the end of the time to leave; gateway and engine come back. */
        NOTICE,
        /** SIGSTOP, and SIGCONT at the end. */
        STOP,
        /** The engine dies, and comes back cold. */
        ENGINE_CRASH,
        /** The engine does and says nothing. */
        ENGINE_PAUSE,
        /** What lies behind the engine fails: runs crash. */
        ENGINE_SICK,
        /** The engine has {@code factor} of its speed. */
        ENGINE_SLOW,
        /**
         * The engine moves; the gateways are told by SIGHUP, but for {@code unnotifiedShare} of
         * them.
         */
        ENGINE_MOVE,
        /** The roster is down. */
        ROSTER_DOWN,
        /** The link brings nothing on, and says nothing. */
        CUT,
        /** The link's connections are reset at the beginning, and new ones until the end. */
        RESET,
        /** The link brings on half of the next message, and then nothing. */
        HALF,
        /** The link is slow by {@code delay} and up to {@code jitter} more. */
        DELAY,
        /** The link brings on {@code rate} bytes a second. */
        THROTTLE,
        /** The link accepts, reads, and throws away. */
        MUTE,
        /** The link refuses connections. */
        REFUSE,
        /** The link loses {@code chance} of the datagrams. */
        LOSE,
        /** The link repeats {@code chance} of the datagrams. */
        REPEAT,
        /** The link brings on {@code chance} of the datagrams after the one that follows. */
        REORDER;

        /** Whether it is done to links, not to processes. */
        public boolean toLinks() {
            return ordinal() >= CUT.ordinal();
        }

        /** Whether a process ends by it, to be started again. */
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

    /** What becomes of a gateway's folder when it is started again. */
    public enum StateRetention {
        KEEP,
        LOSE,
        OLD
    }

    /**
     * A fault.
     *
     * @param action what is done
     * @param at when
     * @param length for how long, where it has an end
     * @param spreadMillis the targets are hit at moments spread over this time
     * @param gateways by number; empty: see zone and share
     * @param zone all gateways of this zone; -1 is any
     * @param share of the gateways that are left, drawn by the seed
     * @param links which, where it is done to links
     * @param callersZone only links from proxies of this zone; -1 is any
     * @param minAwayMillis gone for so long, at least; counted from the end of the process
     * @param jar the program that comes back; "" is the same
     * @param signals with a notice: names of the signals that follow it, in this order
     * @param signalGap between two of them, in ms; 0: in the same instant
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
         * builds, so this text keeps the names that it had first.
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
