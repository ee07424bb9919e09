package tinroad.operator;

import com.typesafe.config.Config;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * What the operators set beyond the platform's configuration, read and checked once. What a file leaves out has the
 * value that the schema gives as its default.
 */
public record Operator(LogSettings log) {

    /** Reads the file; throws with all that is wrong in it. */
    public static Operator read(Path file) throws OperatorException {
        Config log = CheckedFile.read(file, Operator.class).getConfig("log");
        Map<String, String> levels = new HashMap<>();
        log.getConfig("levels").root().forEach((name, level) -> levels.put(name, level.unwrapped().toString()));
        return new Operator(new LogSettings(log.getString("format").equals("json"), log.getString("level"),
                Map.copyOf(levels), log.getInt("queue"), log.getDuration("flush", TimeUnit.NANOSECONDS) / 1e6));
    }
}
