package tinroad.lab.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The parameters of a process of hollow gateways, passed to it as a JSON file.
 *
 * @param first number of its first gateway
 * @param count number of its gateways
 * @param threads event loops that they share
 * @param zones addresses, zones and regions of all gateways of the fleet
 * @param seeds addresses of the members that all of them know at their start
 * @param key secret that authenticates the gossip
 * @param config path of the configuration that all of them read
 * @param loss share of the datagrams that is lost
 * @param delay one-way delay between zones, in ms
 * @param regionDelay one-way delay between regions, in ms
 * @param enginesAway share of the gateways whose engine is away
 * @param seed seed of everything random
 */
record HollowSpec(
        int first,
        int count,
        int threads,
        Topology zones,
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

    /**
     * Whether the engine of this gateway is away. These gateways are spread evenly over the
     * numbers.
     */
    boolean isEngineAway(int number) {
        return Math.floor((number + 1) * enginesAway) > Math.floor(number * enginesAway);
    }
}
