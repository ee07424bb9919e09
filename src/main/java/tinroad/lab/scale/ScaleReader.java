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
 * Reads a scale script: checks it against the schema, then checks what a schema can't express, how
 * its values fit together.
 */
public final class ScaleReader {
    /** The largest number of processes of one size, also where it runs two programs. */
    static final int MAX_PROCESSES = 40;

    private static final int MAX_PROGRAMS = 2;

    private ScaleReader() {}

    /**
     * Reads the script in this file.
     *
     * @throws OperatorException with all errors in it
     */
    public static ScaleScript read(Path file) throws OperatorException {
        Config config = ValidatedFile.read(file, ScaleScript.class);
        Config baseline = config.getConfig("held");
        Config fleet = config.getConfig("fleet");
        ScaleScript script =
                new ScaleScript(
                        config.getString("title"),
                        ScaleScript.SweptParameter.valueOf(
                                config.getString("sweep").toUpperCase(Locale.ROOT)),
                        List.copyOf(config.getDoubleList("sizes")),
                        millis(config, "seconds"),
                        millis(config, "settle"),
                        millis(config, "death"),
                        config.getLong("seed"),
                        new ScaleScript.Parameters(
                                baseline.getInt("gateways"),
                                baseline.getInt("tenants"),
                                baseline.getInt("routes"),
                                baseline.getInt("callers"),
                                baseline.getDouble("rate"),
                                baseline.getDouble("changes"),
                                baseline.getDouble("loss")),
                        new ScaleScript.Fleet(
                                fleet.getInt("real"),
                                fleet.getInt("a-process"),
                                fleet.getInt("zones"),
                                fleet.getInt("regions"),
                                millis(fleet, "delay"),
                                millis(fleet, "region-delay"),
                                millis(fleet, "cut"),
                                fleet.getDouble("engines-away"),
                                fleet.getDouble("pace"),
                                fleet.getInt("sockets")));
        List<ValidationError> errors = validate(script, config);
        if (!errors.isEmpty()) {
            throw new OperatorException(errors.stream().distinct().sorted().toList());
        }
        return script;
    }

    private static double millis(Config from, String key) {
        return from.getDuration(key, TimeUnit.NANOSECONDS) / 1e6;
    }

    private static List<ValidationError> validate(ScaleScript script, Config config) {
        List<ValidationError> errors = new ArrayList<>();
        for (int i = 0; i < script.sizes().size(); i++) {
            double x = script.sizes().get(i);
            if (i > 0 && x <= script.sizes().get(i - 1)) {
                errors.add(
                        error(
                                config,
                                "sizes",
                                "must rise: "
                                        + formatNumber(x)
                                        + " is not more than "
                                        + formatNumber(script.sizes().get(i - 1))));
            }
            String sizeError = sizeError(script.sweptParameter(), x);
            if (sizeError != null) {
                errors.add(error(config, "sizes", sizeError + "; found " + formatNumber(x)));
            } else if (script.parametersAt(x).gateways() < script.fleet().realPerProgram()) {
                errors.add(
                        error(
                                config,
                                script.sweptParameter() == ScaleScript.SweptParameter.GATEWAYS
                                        ? "sizes"
                                        : "held.gateways",
                                "must be no less than fleet.real; found "
                                        + script.parametersAt(x).gateways()));
            } else if (script.maxProcesses(x, MAX_PROGRAMS) > MAX_PROCESSES) {
                errors.add(
                        error(
                                config,
                                "fleet.a-process",
                                "must let "
                                        + formatNumber(x)
                                        + " do with "
                                        + MAX_PROCESSES
                                        + " processes; it takes "
                                        + script.maxProcesses(x, MAX_PROGRAMS)));
            }
        }
        if (script.fleet().regions() > script.fleet().zones()) {
            errors.add(error(config, "fleet.regions", "must be no more than fleet.zones"));
        }
        if (script.fleet().cutMillis() > script.measuredMillis()) {
            errors.add(error(config, "fleet.cut", "must be no more than seconds"));
        }
        return errors;
    }

    /** What a size of this sweep has to satisfy, if it does not; otherwise null. */
    private static String sizeError(ScaleScript.SweptParameter sweptParameter, double x) {
        boolean whole = x == Math.rint(x);
        return switch (sweptParameter) {
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

    private static ValidationError error(Config config, String key, String text) {
        return ValidatedFile.errorAt(config.getValue(key), key, text);
    }

    /** A number without a fraction where it has none. */
    static String formatNumber(double x) {
        return x == Math.rint(x) && Math.abs(x) < 1e15
                ? Long.toString((long) x)
                : Double.toString(x);
    }
}
