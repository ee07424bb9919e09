package tinroad.lab.scale;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * What the system tells of a process at one moment, as in proc(5).
 *
 * @param cpuMs processor time so far, of all its threads that live or lived, in steps of 10 ms
 * @param loopMs the same of its event loops, in ns
 * @param residentMb resident memory
 */
record ProcessFigures(double cpuMs, double loopMs, double residentMb, int descriptors) {
    private static final long PATIENCE_S = 10;

    /**
     * Where user and system time stand after the name in {@code stat}, and what a tick of them is.
     */
    private static final int USER = 11;

    private static final double TICK_MS = 10;

    /** The figures of this process; zeros once it has ended. */
    static ProcessFigures of(long pid) throws IOException {
        Path at = Path.of("/proc", Long.toString(pid));
        double loops = 0;
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(at.resolve("task"))) {
            for (Path thread : threads) {
                String name = name(thread);
                // Netty's own name of a loop's thread, cut to what the system keeps of it, and the
                // hollow ones'.
                loops +=
                        name.startsWith("multiThreadIoEv") || name.equals(HollowHost.LOOP)
                                ? ms(thread)
                                : 0;
            }
        }
        int open = 0;
        try (DirectoryStream<Path> all = Files.newDirectoryStream(at.resolve("fd"))) {
            for (Path ignored : all) {
                open++;
            }
        }
        double resident =
                Files.readAllLines(at.resolve("status"), StandardCharsets.US_ASCII).stream()
                        .filter(l -> l.startsWith("VmRSS:"))
                        .mapToDouble(l -> Double.parseDouble(l.replaceAll("\\D+", "")) / 1024)
                        .findFirst()
                        .orElse(0);
        return new ProcessFigures(ofAllThreadsMs(at), loops, resident, open);
    }

    /**
     * Not the sum of its threads: what those had that have ended, the compiler's come and go, would
     * be lost.
     */
    private static double ofAllThreadsMs(Path at) throws IOException {
        String stat = Files.readString(at.resolve("stat"), StandardCharsets.ISO_8859_1);
        String[] words = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Double.parseDouble(words[USER]) + Double.parseDouble(words[USER + 1])) * TICK_MS;
    }

    private static double ms(Path thread) {
        try {
            return Double.parseDouble(Files.readString(thread.resolve("schedstat")).split(" ")[0])
                    / 1e6;
        } catch (IOException e) {
            // A thread that has ended meanwhile.
            return 0;
        }
    }

    private static String name(Path thread) {
        try {
            return Files.readString(thread.resolve("comm")).strip();
        } catch (IOException e) {
            return "";
        }
    }

    /**
     * Heap that is in use after a full collection, in MB, as the machine's own tool has it of the
     * process; NaN where that fails.
     */
    static double heapAfterCollectionMb(long pid) throws IOException, InterruptedException {
        jcmd(pid, "GC.run");
        double kb =
                jcmd(pid, "GC.heap_info")
                        .lines()
                        .filter(l -> l.contains("generation"))
                        .mapToDouble(
                                l -> Double.parseDouble(l.replaceAll(".* used (\\d+)K.*", "$1")))
                        .sum();
        return kb == 0 ? Double.NaN : kb / 1024;
    }

    private static String jcmd(long pid, String command) throws IOException, InterruptedException {
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(),
                                Long.toString(pid),
                                command)
                        .redirectErrorStream(true)
                        .start();
        String text =
                new String(process.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        process.waitFor(PATIENCE_S, TimeUnit.SECONDS);
        return text;
    }
}
