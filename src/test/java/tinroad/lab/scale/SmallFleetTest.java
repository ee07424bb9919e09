package tinroad.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collections;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import tinroad.Program;

/**
 * Runs a scale script with 20 hollow gateways beside 2 real ones. Only counts are checked, no value
 * that depends on timing.
 */
@Timeout(240)
class SmallFleetTest {
    private static final int CHANGES = 2;
    @TempDir private static Path dir;
    private static SweepResult result;

    @BeforeAll
    static void run() throws Exception {
        Path file =
                Files.writeString(
                        dir.resolve("scale-s.conf"),
                        """
                        title = "a small fleet", sweep = tenants, sizes = [4, 400], seconds = 1s, settle = 60s, death = 60s
                        held { gateways = 22, rate = 30, changes = 360 }
                        fleet { real = 2, a-process = 10, zones = 3, regions = 2, delay = 2ms, region-delay = 5ms, engines-away = 0.1, pace = 20 }
                        """);
        result =
                new ScaleRun(
                                ScaleReader.read(file),
                                new ScaleRun.Options(
                                        Program.CLASS_PATH,
                                        List.of(Program.CLASS_PATH),
                                        Collections.singletonList(null),
                                        dir.resolve("run"),
                                        null))
                        .run();
    }

    private static Measurement measurement(double x, String role, String metric) {
        return result.measurements().stream()
                .filter(m -> m.x() == x && m.role().equals(role) && m.metric().equals(metric))
                .findFirst()
                .orElseThrow(
                        () ->
                                new AssertionError(
                                        metric
                                                + " of "
                                                + role
                                                + " is not there: "
                                                + result.tableRows()));
    }

    @Test
    void bothSizesAreRun() {
        assertTrue(!result.hasUnplayedSize(), () -> result.tableRows().toString());
    }

    @Test
    void allMembersKnowAllOthersAndDetectADeath() {
        for (double x : new double[] {4, 400}) {
            assertEquals(1, measurement(x, "hollow", "known_part").value());
            assertEquals(21, measurement(x, "hollow", "death_known_ms").n());
        }
    }

    /**
     * The value in the note of a measurement that has none because the machine was too slow; NaN
     * where the note has no value.
     */
    private static double valueInNote(Measurement measurement) {
        Matcher note =
                Pattern.compile("not carried: .* came to ([-\\d.e+]+).*")
                        .matcher(measurement.note());
        return note.matches() ? Double.parseDouble(note.group(1)) : Double.NaN;
    }

    @Test
    void allRolesAreMeasured() {
        for (String metric : SweepResult.COMPARED_METRICS) {
            Measurement hollow = measurement(4, "hollow", metric);
            // A machine that is too slow for the fleet is not a fault of the run, but the note
            // then has to say so, with the value observed.
            assertTrue(
                    Double.isFinite(hollow.value()) || Double.isFinite(valueInNote(hollow)),
                    hollow::toString);
            Measurement real = measurement(4, "real", metric);
            assertTrue(
                    Double.isFinite(real.value()) || Double.isFinite(valueInNote(real)),
                    real::toString);
        }
        assertEquals(20, measurement(4, "hollow", "cpu_part").n());
        assertEquals(2 * SweepResult.COMPARED_METRICS.size(), result.comparisonsAsJson().size());
        assertEquals(22, measurement(4, "roster", "datagrams_in_s").n());
    }

    @Test
    void theGatewayAndTheRelayGetTheSameRequests() {
        Measurement relay = measurement(4, "relay", "p50_ms");
        Measurement real = measurement(4, "real", "added_p50_ms");
        assertTrue(relay.n() > 0);
        assertTrue(
                real.n() == relay.n()
                        || real.note().contains("not served")
                        || real.note().startsWith("not carried"),
                () -> relay + "\n" + real);
    }

    @Test
    void eachChangeIsReadByAllGatewaysAndCostsTheSizeOfTheFile() {
        for (double x : new double[] {4, 400}) {
            assertEquals(CHANGES, measurement(x, "hollow", "change_bytes").n());
            assertEquals(20 * CHANGES, measurement(x, "hollow", "reread_median_ms").n());
            assertTrue(measurement(x, "real", "in_force_median_ms").n() <= CHANGES);
        }
        double perTenant = (changeBytes(400) - changeBytes(4)) / 396;
        assertTrue(
                perTenant > 30 && perTenant < 100,
                () -> "a tenant is " + perTenant + " bytes of the file");
    }

    /** Bytes read for a change, from the note where the machine was too slow for the fleet. */
    private static double changeBytes(double x) {
        Measurement m = measurement(x, "hollow", "change_bytes");
        return Double.isFinite(m.value())
                ? m.value()
                : Double.parseDouble(m.note().replaceAll(".*came to ([0-9.e+]+).*", "$1"));
    }
}
