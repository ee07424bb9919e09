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

/** Fits of made-up figures whose law is known, and the files of a sweep. */
class FitTest {
    private static final double[] SIZES = {25, 50, 100, 200, 400, 800, 1300};
    private static final ObjectMapper JSON = new ObjectMapper();

    @TempDir private Path dir;

    private static Line line(double x, String metric, double value) {
        return new Line(
                "gateways-20260101T000000", "gateways", x, "hollow", metric, "ms", value, 3, "");
    }

    /** The fit of this law, with so much noise as a share of each figure. */
    private static Fit of(DoubleUnaryOperator law, double noise) {
        SplittableRandom random = new SplittableRandom(7);
        return Fit.of(
                DoubleStream.of(SIZES)
                        .mapToObj(
                                x ->
                                        line(
                                                x,
                                                "m",
                                                law.applyAsDouble(x)
                                                        * (1 + noise * random.nextDouble(-1, 1))))
                        .toList());
    }

    @Test
    void eachFormIsFoundAndForetellsTheLargest() {
        assertEquals(Fit.Form.FLAT, of(x -> 5, 0.1).form());
        assertEquals(Fit.Form.LINEAR, of(x -> 3 + 0.02 * x, 0.01).form());
        assertEquals(Fit.Form.LOG, of(x -> 3 + 2 * Math.log(x), 0.01).form());
        assertEquals(Fit.Form.WORSE, of(x -> 0.001 * x * x, 0.01).form());
        for (DoubleUnaryOperator law :
                List.<DoubleUnaryOperator>of(
                        x -> 3 + 0.02 * x, x -> 3 + 2 * Math.log(x), x -> 0.001 * x * x)) {
            Fit f = of(law, 0);
            assertEquals(1300, f.largest());
            assertEquals(law.applyAsDouble(1300), f.foretold(), 1e-6 * f.foretold());
            assertEquals(f.foretold(), f.at(1300), 1e-9 * f.foretold());
            assertTrue(f.error() < 1e-6, f::toString);
        }
    }

    @Test
    void theSlopeLiesInItsInterval() {
        Fit f = of(x -> 3 + 0.02 * x, 0.05);
        assertTrue(
                f.low() < 0.02 && 0.02 < f.high() && f.low() < f.b() && f.b() < f.high(),
                f::toString);
        assertEquals(2, of(x -> 0.001 * x * x, 0).exponent(), 1e-9);
    }

    @Test
    void theLargestIsNoPartOfWhatForetellsIt() {
        Fit f = of(x -> x == 1300 ? 100 : 3 + 0.02 * x, 0);
        assertEquals(29, f.foretold(), 1e-6);
        assertEquals(0.71, f.error(), 1e-6);
    }

    @Test
    void sizesThatWereNotCarriedAreLeftOutAndTooFewAreNoFit() {
        List<Line> some =
                DoubleStream.of(SIZES)
                        .mapToObj(x -> line(x, "m", x > 400 ? Double.NaN : x))
                        .toList();
        assertEquals(400, Fit.of(some).largest());
        assertNull(Fit.of(some.subList(0, 3)));
    }

    @Test
    void aSweepAddsItsPointsAndReplacesItsFits() throws Exception {
        List<Line> lines =
                DoubleStream.of(SIZES)
                        .mapToObj(x -> line(x, "cpu_part", x > 1000 ? Double.NaN : 2 * x))
                        .toList();
        Files.writeString(
                dir.resolve(Sweep.FITS),
                "{\"id\":\"rate/real/cpu_part\",\"sweep\":\"rate\"}\n"
                        + "{\"id\":\"old\",\"sweep\":\"gateways\"}\n");
        Sweep sweep = new Sweep("gateways-20260101T000000", "gateways", lines);
        sweep.write(dir);
        sweep.write(dir);
        List<String> points = Files.readAllLines(dir.resolve(Sweep.POINTS));
        assertEquals(2 * SIZES.length, points.size());
        assertEquals(lines, points.subList(0, SIZES.length).stream().map(FitTest::line).toList());
        assertTrue(points.get(SIZES.length - 1).contains("\"value\":null"), points::toString);
        List<String> fits = Files.readAllLines(dir.resolve(Sweep.FITS));
        assertEquals(2, fits.size());
        JsonNode fit = JSON.readTree(fits.get(1));
        assertEquals("gateways/hollow/cpu_part", fit.path("id").asText());
        assertEquals(2, fit.path("b").asDouble(), 1e-9);
        assertEquals(800, fit.path("largest").asDouble());
        assertTrue(Files.exists(dir.resolve("scale-gateways-cpu-part.png")));
    }

    private static Line line(String json) {
        try {
            return Line.read(json);
        } catch (java.io.IOException e) {
            throw new AssertionError(json, e);
        }
    }
}
