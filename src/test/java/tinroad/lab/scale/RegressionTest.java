package tinroad.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.DoubleStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests regressions of synthetic values with a known law, and the files of a sweep. */
class RegressionTest {
    private static final double[] SIZES = {25, 50, 100, 200, 400, 800, 1300};
    private static final ObjectMapper JSON = new ObjectMapper();

    @TempDir private Path dir;

    private static Measurement measurement(double x, String metric, double value) {
        return new Measurement(
                "gateways-20260101T000000", "gateways", x, "hollow", metric, "ms", value, 3, "");
    }

    /** The regression of this law, with noise of at most this share of each value. */
    private static Regression of(DoubleUnaryOperator law, double noise) {
        SplittableRandom random = new SplittableRandom(7);
        return Regression.of(
                DoubleStream.of(SIZES)
                        .mapToObj(
                                x ->
                                        measurement(
                                                x,
                                                "m",
                                                law.applyAsDouble(x)
                                                        * (1 + noise * random.nextDouble(-1, 1))))
                        .toList());
    }

    @Test
    void eachFormIsFoundAndForecastsTheLargestSize() {
        assertEquals(Regression.Form.FLAT, of(x -> 5, 0.1).form());
        assertEquals(Regression.Form.LINEAR, of(x -> 3 + 0.02 * x, 0.01).form());
        assertEquals(Regression.Form.LOG, of(x -> 3 + 2 * Math.log(x), 0.01).form());
        assertEquals(Regression.Form.WORSE, of(x -> 0.001 * x * x, 0.01).form());
        for (DoubleUnaryOperator law :
                List.<DoubleUnaryOperator>of(
                        x -> 3 + 0.02 * x, x -> 3 + 2 * Math.log(x), x -> 0.001 * x * x)) {
            Regression r = of(law, 0);
            assertEquals(1300, r.largestSize());
            assertEquals(law.applyAsDouble(1300), r.forecast(), 1e-6 * r.forecast());
            assertEquals(r.forecast(), r.predict(1300), 1e-9 * r.forecast());
            assertTrue(r.relativeError() < 1e-6, r::toString);
        }
    }

    @Test
    void theSlopeLiesInItsInterval() {
        Regression r = of(x -> 3 + 0.02 * x, 0.05);
        assertTrue(
                r.slopeLow() < 0.02
                        && 0.02 < r.slopeHigh()
                        && r.slopeLow() < r.slope()
                        && r.slope() < r.slopeHigh(),
                r::toString);
        assertEquals(2, of(x -> 0.001 * x * x, 0).exponent(), 1e-9);
    }

    @Test
    void theLargestSizeIsLeftOutOfItsForecast() {
        Regression r = of(x -> x == 1300 ? 100 : 3 + 0.02 * x, 0);
        assertEquals(29, r.forecast(), 1e-6);
        assertEquals(0.71, r.relativeError(), 1e-6);
    }

    @Test
    void sizesWithoutAValueAreLeftOutAndTooFewGiveNoRegression() {
        List<Measurement> measurements =
                DoubleStream.of(SIZES)
                        .mapToObj(x -> measurement(x, "m", x > 400 ? Double.NaN : x))
                        .toList();
        assertEquals(400, Regression.of(measurements).largestSize());
        assertNull(Regression.of(measurements.subList(0, 3)));
    }

    @Test
    void aSweepAppendsItsPointsAndReplacesItsRegressions() throws Exception {
        List<Measurement> measurements =
                DoubleStream.of(SIZES)
                        .mapToObj(x -> measurement(x, "cpu_part", x > 1000 ? Double.NaN : 2 * x))
                        .toList();
        Files.writeString(
                dir.resolve(SweepResult.FITS_FILE),
                "{\"id\":\"rate/real/cpu_part\",\"sweep\":\"rate\"}\n"
                        + "{\"id\":\"old\",\"sweep\":\"gateways\"}\n");
        SweepResult sweep = new SweepResult("gateways-20260101T000000", "gateways", measurements);
        sweep.write(dir);
        sweep.write(dir);
        List<String> points = Files.readAllLines(dir.resolve(SweepResult.POINTS_FILE));
        assertEquals(2 * SIZES.length, points.size());
        assertEquals(
                measurements,
                points.subList(0, SIZES.length).stream().map(RegressionTest::measurement).toList());
        assertTrue(points.get(SIZES.length - 1).contains("\"value\":null"), points::toString);
        List<String> fits = Files.readAllLines(dir.resolve(SweepResult.FITS_FILE));
        assertEquals(2, fits.size());
        JsonNode fit = JSON.readTree(fits.get(1));
        assertEquals("gateways/hollow/cpu_part", fit.path("id").asText());
        assertEquals(2, fit.path("b").asDouble(), 1e-9);
        assertEquals(800, fit.path("largest").asDouble());
        assertTrue(Files.exists(dir.resolve("scale-gateways-cpu-part.png")));
    }

    private static Measurement measurement(String json) {
        try {
            return Measurement.read(json);
        } catch (java.io.IOException e) {
            throw new AssertionError(json, e);
        }
    }
}
