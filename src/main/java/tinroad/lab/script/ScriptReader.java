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
 * Reads a lab script. The file is validated against the schema first, and then for the conditions
 * that a schema can't express.
 */
public final class ScriptReader {
    private final Config root;
    private final List<ValidationError> errors = new ArrayList<>();

    private ScriptReader(Config root) {
        this.root = root;
    }

    /** Reads the script in this file; the exception lists all errors in it. */
    public static Script read(Path file) throws OperatorException {
        return new ScriptReader(ValidatedFile.read(file, Script.class)).read();
    }

    private Script read() throws OperatorException {
        Script script =
                new Script(
                        root.getString("title"),
                        ms(root, "length"),
                        ms(root, "settle"),
                        fleet(root.getConfig("fleet")),
                        engine(root.getConfig("engine")),
                        classes(),
                        population("members"),
                        population("subjects"),
                        callers(root.getConfig("callers")),
                        load(root.getConfig("load")),
                        roster(root.getConfig("roster")),
                        faults());
        check(script);
        if (!errors.isEmpty()) {
            throw new OperatorException(errors.stream().distinct().sorted().toList());
        }
        return script;
    }

    private static double ms(Config from, String key) {
        return from.getDuration(key, TimeUnit.NANOSECONDS) / 1e6;
    }

    private static <E extends Enum<E>> E enumValue(Class<E> type, Config from, String key) {
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

    private static EngineModel engine(Config c) {
        return new EngineModel(
                enumValue(ServiceTimeLaw.class, c, "law"),
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

    /** The objects of a list, each completed by the defaults of the list below {@code each}. */
    private List<Config> items(String key) {
        return root.getConfigList(key).stream()
                .map(c -> c.withFallback(root.getConfig("each." + key)))
                .toList();
    }

    private Population population(String key) {
        return new Population(root.getInt(key + ".count"), root.getDouble(key + ".skew"));
    }

    private static Callers callers(Config c) {
        return new Callers(
                c.getInt("proxies"),
                enumValue(Selection.class, c, "choice"),
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

    private List<Fault> faults() {
        return items("faults").stream()
                .map(
                        c ->
                                new Fault(
                                        enumValue(FaultAction.class, c, "do"),
                                        ms(c, "at"),
                                        ms(c, "for"),
                                        ms(c, "within"),
                                        c.getIntList("gateways"),
                                        c.getInt("zone"),
                                        c.getDouble("share"),
                                        c.getStringList("links").stream()
                                                .map(l -> Link.valueOf(l.toUpperCase(Locale.ROOT)))
                                                .toList(),
                                        enumValue(LinkDirection.class, c, "way"),
                                        c.getInt("callers-zone"),
                                        ms(c, "back-least"),
                                        ms(c, "back-most"),
                                        enumValue(StateRetention.class, c, "folder"),
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

    // --- Conditions that the schema does not express ---

    private void check(Script script) {
        if (script.settle() >= script.length()) {
            addError("settle", "must be less than length");
        }
        if (script.fleet().zones() > script.fleet().gateways()) {
            addError("fleet.zones", "must be no more than fleet.gateways");
        }
        if (script.fleet().sameName().stream().anyMatch(g -> g >= script.fleet().gateways())) {
            addError("fleet.same-name", "must be from 0 to " + (script.fleet().gateways() - 1));
        }
        if (script.roster().minDelayMillis() > script.roster().maxDelayMillis()) {
            addError("roster.late-least", "must be no more than late-most");
        }
        Set<String> names = new HashSet<>();
        for (int i = 0; i < script.classes().size(); i++) {
            RequestClass requestClass = script.classes().get(i);
            if (!names.add(requestClass.name())) {
                addError("classes", i, "name", "must differ from the names of the other classes");
            }
            if (requestClass.objective() > requestClass.deadline()) {
                addError("classes", i, "objective", "must be no more than deadline");
            }
        }
        for (int i = 0; i < script.faults().size(); i++) {
            check(script, i, script.faults().get(i));
        }
    }

    private void check(Script script, int i, Fault fault) {
        if (fault.at() >= script.length()) {
            addError("faults", i, "at", "must be before the end of the load, length");
        }
        if (fault.gateways().stream().anyMatch(g -> g >= script.fleet().gateways())) {
            addError(
                    "faults",
                    i,
                    "gateways",
                    "must be from 0 to " + (script.fleet().gateways() - 1));
        }
        if (Math.max(fault.zone(), fault.callersZone()) >= script.fleet().zones()) {
            addError(
                    "faults",
                    i,
                    fault.zone() >= script.fleet().zones() ? "zone" : "callers-zone",
                    "must be from 0 to " + (script.fleet().zones() - 1));
        }
        if (fault.minAwayMillis() > fault.maxAwayMillis()) {
            addError("faults", i, "back-least", "must be no more than back-most");
        }
        if (fault.action().toLinks() == fault.links().isEmpty()) {
            addError(
                    "faults",
                    i,
                    fault.links().isEmpty() ? "do" : "links",
                    fault.links().isEmpty()
                            ? "must have links: which links are meant?"
                            : "must go with a fault of links");
        }
        boolean datagrams =
                fault.action() == FaultAction.LOSE
                        || fault.action() == FaultAction.REPEAT
                        || fault.action() == FaultAction.REORDER;
        boolean streams =
                fault.action() == FaultAction.RESET
                        || fault.action() == FaultAction.HALF
                        || fault.action() == FaultAction.REFUSE
                        || fault.action() == FaultAction.THROTTLE
                        || fault.action() == FaultAction.MUTE;
        if ((datagrams && fault.links().stream().anyMatch(l -> l != Link.ROSTER))
                || (streams && fault.links().contains(Link.ROSTER))) {
            addError(
                    "faults",
                    i,
                    "links",
                    datagrams
                            ? "must be roster: only there are datagrams"
                            : "must not have roster: there are no connections");
        }
    }

    private void addError(String path, String text) {
        ConfigValue at = root.getValue(path);
        errors.add(ValidatedFile.errorAt(at, path, text));
    }

    private void addError(String list, int item, String key, String text) {
        ConfigObject object = (ConfigObject) ((ConfigList) root.getValue(list)).get(item);
        errors.add(
                ValidatedFile.errorAt(
                        object.getOrDefault(key, object), list + "." + item + "." + key, text));
    }
}
