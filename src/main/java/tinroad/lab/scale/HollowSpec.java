package tinroad.lab.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * What a process of hollow gateways is told, as a JSON file.
 *
 * @param first number of its first one
 * @param threads event loops that they share
 * @param seeds addresses that all know to begin with
 * @param config the configuration that all of them read
 * @param enginesAway share of them whose engine is gone
 */
record HollowSpec(
        int first,
        int count,
        int threads,
        Zones zones,
        List<String> seeds,
        byte[] key,
        String config,
        double loss,
        double delay,
        double regionDelay,
        double enginesAway,
        long seed) {
    private static final ObjectMapper JSON = new ObjectMapper();

    static HollowSpec read(Path file) throws IOException {
        return JSON.readValue(file.toFile(), HollowSpec.class);
    }

    void write(Path file) throws IOException {
        Files.writeString(file, JSON.writeValueAsString(this));
    }

    /** Whether this one's engine is gone: spread evenly over the numbers. */
    boolean engineAway(int number) {
        return Math.floor((number + 1) * enginesAway) > Math.floor(number * enginesAway);
    }
}
