package tinroad.lab.script;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigList;
import com.typesafe.config.ConfigObject;
import com.typesafe.config.ConfigValue;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import tinroad.lab.script.Script.Callers;
import tinroad.lab.script.Script.EngineModel;
import tinroad.lab.script.Script.Fault;
import tinroad.lab.script.Script.FaultAction;
import tinroad.lab.script.Script.Fleet;
import tinroad.lab.script.Script.Jump;
import tinroad.lab.script.Script.Link;
import tinroad.lab.script.Script.LinkDirection;
import tinroad.lab.script.Script.Load;
import tinroad.lab.script.Script.Population;
import tinroad.lab.script.Script.RequestClass;
import tinroad.lab.script.Script.Roster;
import tinroad.lab.script.Script.Selection;
import tinroad.lab.script.Script.ServiceTimeLaw;
import tinroad.lab.script.Script.StateRetention;
import tinroad.operator.OperatorException;
import tinroad.operator.ValidatedFile;
import tinroad.operator.ValidationError;

/**
 * Reads a lab script: what a schema can say is checked against it, and then how the parts fit
 * together.
 */
public final class ScriptReader {
    private final Config all;
    private final List<ValidationError> faults = new ArrayList<>();

    private ScriptReader(Config all) {
        this.all = all;
    }

    /** The script in this file; throws with all that is wrong in it. */
    public static Script read(Path file) throws OperatorException {
        return new ScriptReader(ValidatedFile.read(file, Script.class)).read();
    }

    private Script read() throws OperatorException {
        Script script =
                new Script(
                        all.getString("title"),
                        ms(all, "length"),
                        ms(all, "settle"),
                        fleet(all.getConfig("fleet")),
                        work(all.getConfig("engine")),
                        classes(),
                        crowd("members"),
                        crowd("subjects"),
                        callers(all.getConfig("callers")),
                        load(all.getConfig("load")),
                        roster(all.getConfig("roster")),
                        troubles());
        check(script);
        if (!faults.isEmpty()) {
            throw new OperatorException(faults.stream().distinct().sorted().toList());
        }
        return script;
    }

    private static double ms(Config from, String key) {
        return from.getDuration(key, TimeUnit.NANOSECONDS) / 1e6;
    }

    private static <E extends Enum<E>> E word(Class<E> type, Config from, String key) {
        return Enum.valueOf(type, from.getString(key).toUpperCase(Locale.ROOT).replace('-', '_'));
    }

    private static Fleet fleet(Config c) {
        return new Fleet(
                c.getInt("gateways"),
                c.getInt("zones"),
                c.getInt("cores"),
                c.getDoubleList("speeds"),
                c.getInt("memory-mb"),
                c.getInt("sockets"),
                ms(c, "stop"),
                c.getIntList("same-name"));
    }

    private static EngineModel work(Config c) {
        return new EngineModel(
                word(ServiceTimeLaw.class, c, "law"),
                c.getDouble("sigma"),
                c.getDouble("knee"),
                c.getDouble("crowding"),
                c.getDouble("cold"),
                ms(c, "warmup"),
                c.getDouble("read"),
                ms(c, "check"),
                ms(c, "handshake"));
    }

    private List<RequestClass> classes() {
        return items("classes").stream()
                .map(
                        c ->
                                new RequestClass(
                                        c.getString("name"),
                                        c.getDouble("part"),
                                        ms(c, "work"),
                                        ms(c, "objective"),
                                        ms(c, "deadline"),
                                        c.getDouble("gain"),
                                        c.getBoolean("free")))
                .toList();
    }

    /** The objects of a list, each with what stands in {@code each} of the defaults beneath. */
    private List<Config> items(String key) {
        return all.getConfigList(key).stream()
                .map(c -> c.withFallback(all.getConfig("each." + key)))
                .toList();
    }

    private Population crowd(String key) {
        return new Population(all.getInt(key + ".count"), all.getDouble(key + ".skew"));
    }

    private static Callers callers(Config c) {
        return new Callers(
                c.getInt("proxies"),
                word(Selection.class, c, "choice"),
                c.getInt("connections"),
                c.getInt("streams"),
                c.getDouble("patience"),
                c.getDouble("in-all"),
                c.getInt("tries"),
                ms(c, "pause"),
                c.getDouble("heed"),
                c.getBoolean("walk"),
                ms(c, "checks"),
                ms(c, "idle"),
                c.getDouble("unaware"));
    }

    private static Load load(Config c) {
        return new Load(
                c.getDouble("level"),
                c.getDouble("wave"),
                ms(c, "period"),
                c.getConfigList("jumps").stream()
                        .map(j -> new Jump(ms(j, "at"), ms(j, "for"), j.getDouble("level")))
                        .toList());
    }

    private static Roster roster(Config c) {
        return new Roster(ms(c, "late-least"), ms(c, "late-most"), ms(c, "lapse"));
    }

    private List<Fault> troubles() {
        return items("faults").stream()
                .map(
                        c ->
                                new Fault(
                                        word(FaultAction.class, c, "do"),
                                        ms(c, "at"),
                                        ms(c, "for"),
                                        ms(c, "within"),
                                        c.getIntList("gateways"),
                                        c.getInt("zone"),
                                        c.getDouble("share"),
                                        c.getStringList("links").stream()
                                                .map(l -> Link.valueOf(l.toUpperCase(Locale.ROOT)))
                                                .toList(),
                                        word(LinkDirection.class, c, "way"),
                                        c.getInt("callers-zone"),
                                        ms(c, "back-least"),
                                        ms(c, "back-most"),
                                        word(StateRetention.class, c, "folder"),
                                        c.getString("jar"),
                                        c.getDouble("factor"),
                                        c.getDouble("missed"),
                                        ms(c, "delay"),
                                        ms(c, "jitter"),
                                        c.getDouble("rate"),
                                        c.getDouble("chance"),
                                        c.getStringList("signals"),
                                        ms(c, "signal-gap")))
                .toList();
    }

    // --- what no schema says ---

    private void check(Script s) {
        if (s.settle() >= s.length()) {
            wrong("settle", "must be less than length");
        }
        if (s.fleet().zones() > s.fleet().gateways()) {
            wrong("fleet.zones", "must be no more than fleet.gateways");
        }
        if (s.fleet().sameName().stream().anyMatch(g -> g >= s.fleet().gateways())) {
            wrong("fleet.same-name", "must be from 0 to " + (s.fleet().gateways() - 1));
        }
        if (s.roster().minDelayMillis() > s.roster().maxDelayMillis()) {
            wrong("roster.late-least", "must be no more than late-most");
        }
        Set<String> names = new HashSet<>();
        for (int i = 0; i < s.classes().size(); i++) {
            RequestClass k = s.classes().get(i);
            if (!names.add(k.name())) {
                wrong("classes", i, "name", "must differ from the names of the other classes");
            }
            if (k.objective() > k.deadline()) {
                wrong("classes", i, "objective", "must be no more than deadline");
            }
        }
        for (int i = 0; i < s.faults().size(); i++) {
            check(s, i, s.faults().get(i));
        }
    }

    private void check(Script s, int i, Fault t) {
        if (t.at() >= s.length()) {
            wrong("faults", i, "at", "must be before the end of the load, length");
        }
        if (t.gateways().stream().anyMatch(g -> g >= s.fleet().gateways())) {
            wrong("faults", i, "gateways", "must be from 0 to " + (s.fleet().gateways() - 1));
        }
        if (Math.max(t.zone(), t.callersZone()) >= s.fleet().zones()) {
            wrong(
                    "faults",
                    i,
                    t.zone() >= s.fleet().zones() ? "zone" : "callers-zone",
                    "must be from 0 to " + (s.fleet().zones() - 1));
        }
        if (t.minAwayMillis() > t.maxAwayMillis()) {
            wrong("faults", i, "back-least", "must be no more than back-most");
        }
        if (t.action().toLinks() == t.links().isEmpty()) {
            wrong(
                    "faults",
                    i,
                    t.links().isEmpty() ? "do" : "links",
                    t.links().isEmpty()
                            ? "must have links: which links are meant?"
                            : "must go with a fault of links");
        }
        boolean datagrams =
                t.action() == FaultAction.LOSE
                        || t.action() == FaultAction.REPEAT
                        || t.action() == FaultAction.REORDER;
        boolean streams =
                t.action() == FaultAction.RESET
                        || t.action() == FaultAction.HALF
                        || t.action() == FaultAction.REFUSE
                        || t.action() == FaultAction.THROTTLE
                        || t.action() == FaultAction.MUTE;
        if ((datagrams && t.links().stream().anyMatch(l -> l != Link.ROSTER))
                || (streams && t.links().contains(Link.ROSTER))) {
            wrong(
                    "faults",
                    i,
                    "links",
                    datagrams
                            ? "must be roster: only there are datagrams"
                            : "must not have roster: there are no connections");
        }
    }

    private void wrong(String path, String text) {
        ConfigValue at = all.getValue(path);
        faults.add(ValidatedFile.errorAt(at, path, text));
    }

    private void wrong(String list, int item, String key, String text) {
        ConfigObject object = (ConfigObject) ((ConfigList) all.getValue(list)).get(item);
        faults.add(
                ValidatedFile.errorAt(
                        object.getOrDefault(key, object), list + "." + item + "." + key, text));
    }
}
