package tinroad.lab.scale;

import com.typesafe.config.Config;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import tinroad.operator.OperatorException;
import tinroad.operator.ValidatedFile;
import tinroad.operator.ValidationError;

/**
 * Reads a scale script: what a schema can say is checked against it, and then how the parts fit
 * together.
 */
public final class ScaleReader {
    /** Processes of one size at most, and the share of them that a second program may want. */
    static final int MOST_PROCESSES = 40;

    private static final int PROGRAMS = 2;

    private ScaleReader() {}

    /** The script in this file; throws with all that is wrong in it. */
    public static Scale read(Path file) throws OperatorException {
        Config c = ValidatedFile.read(file, Scale.class);
        Config h = c.getConfig("held");
        Config f = c.getConfig("fleet");
        Scale scale =
                new Scale(
                        c.getString("title"),
                        Scale.Sweep.valueOf(c.getString("sweep").toUpperCase(Locale.ROOT)),
                        List.copyOf(c.getDoubleList("sizes")),
                        ms(c, "seconds"),
                        ms(c, "settle"),
                        ms(c, "death"),
                        c.getLong("seed"),
                        new Scale.Held(
                                h.getInt("gateways"),
                                h.getInt("tenants"),
                                h.getInt("routes"),
                                h.getInt("callers"),
                                h.getDouble("rate"),
                                h.getDouble("changes"),
                                h.getDouble("loss")),
                        new Scale.Fleet(
                                f.getInt("real"),
                                f.getInt("a-process"),
                                f.getInt("zones"),
                                f.getInt("regions"),
                                ms(f, "delay"),
                                ms(f, "region-delay"),
                                ms(f, "cut"),
                                f.getDouble("engines-away"),
                                f.getDouble("pace"),
                                f.getInt("sockets")));
        List<ValidationError> faults = check(scale, c);
        if (!faults.isEmpty()) {
            throw new OperatorException(faults.stream().distinct().sorted().toList());
        }
        return scale;
    }

    private static double ms(Config from, String key) {
        return from.getDuration(key, TimeUnit.NANOSECONDS) / 1e6;
    }

    private static List<ValidationError> check(Scale s, Config c) {
        List<ValidationError> faults = new ArrayList<>();
        for (int i = 0; i < s.sizes().size(); i++) {
            double x = s.sizes().get(i);
            if (i > 0 && x <= s.sizes().get(i - 1)) {
                faults.add(
                        fault(
                                c,
                                "sizes",
                                "must rise: "
                                        + plain(x)
                                        + " is not more than "
                                        + plain(s.sizes().get(i - 1))));
            }
            String limit = limit(s.sweep(), x);
            if (limit != null) {
                faults.add(fault(c, "sizes", limit + "; found " + plain(x)));
            } else if (s.at(x).gateways() < s.fleet().real()) {
                faults.add(
                        fault(
                                c,
                                s.sweep() == Scale.Sweep.GATEWAYS ? "sizes" : "held.gateways",
                                "must be no less than fleet.real; found " + s.at(x).gateways()));
            } else if (s.processes(x, PROGRAMS) > MOST_PROCESSES) {
                faults.add(
                        fault(
                                c,
                                "fleet.a-process",
                                "must let "
                                        + plain(x)
                                        + " do with "
                                        + MOST_PROCESSES
                                        + " processes; it takes "
                                        + s.processes(x, PROGRAMS)));
            }
        }
        if (s.fleet().regions() > s.fleet().zones()) {
            faults.add(fault(c, "fleet.regions", "must be no more than fleet.zones"));
        }
        if (s.fleet().cut() > s.seconds()) {
            faults.add(fault(c, "fleet.cut", "must be no more than seconds"));
        }
        return faults;
    }

    /** What a size of this sweep must be, where it is not. */
    private static String limit(Scale.Sweep sweep, double x) {
        boolean whole = x == Math.rint(x);
        return switch (sweep) {
            case GATEWAYS -> whole && x >= 1 && x <= 2000 ? null : "must be whole, from 1 to 2000";
            case TENANTS ->
                    whole && x >= 0 && x <= 100_000 ? null : "must be whole, from 0 to 100000";
            case ROUTES, CALLERS ->
                    whole && x >= 1 && x <= 100_000 ? null : "must be whole, from 1 to 100000";
            case RATE -> x <= 2000 ? null : "must be 2000 or less";
            case CHANGES -> x <= 10_000 ? null : "must be 10000 or less";
            case LOSS -> x <= 0.5 ? null : "must be 0.5 or less";
        };
    }

    private static ValidationError fault(Config c, String key, String text) {
        return ValidatedFile.errorAt(c.getValue(key), key, text);
    }

    static String plain(double x) {
        return x == Math.rint(x) && Math.abs(x) < 1e15
                ? Long.toString((long) x)
                : Double.toString(x);
    }
}
