package tinroad.lab.scale;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * Resource usage of a process at one moment, read from proc(5).
 *
 * @param cpuMillis processor time so far of all its threads, including those that have ended, in
 *     steps of 10 ms
 * @param loopCpuMillis processor time of its event loops, with a resolution of 1 ns
 * @param residentMb resident memory
 * @param descriptors open file descriptors
 */
record ProcessStats(double cpuMillis, double loopCpuMillis, double residentMb, int descriptors) {
    private static final long JCMD_TIMEOUT_SECONDS = 10;

    /**
     * Index of the user time after the process name in {@code stat}; the system time follows it.
     */
    private static final int USER_TIME_FIELD = 11;

    private static final double CPU_TICK_MILLIS = 10;

    /** Reads the usage of the process with this id. */
    static ProcessStats of(long pid) throws IOException {
        Path processFolder = Path.of("/proc", Long.toString(pid));
        double loopCpu = 0;
        try (DirectoryStream<Path> threads =
                Files.newDirectoryStream(processFolder.resolve("task"))) {
            for (Path thread : threads) {
                String name = threadName(thread);
                // The name of Netty's event loop threads, truncated as the kernel does, and that
                // of the hollow gateways' event loops.
                loopCpu +=
                        name.startsWith("multiThreadIoEv")
                                        || name.equals(HollowHost.LOOP_THREAD_NAME)
                                ? threadCpuMillis(thread)
                                : 0;
            }
        }
        int descriptorCount = 0;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(processFolder.resolve("fd"))) {
            for (Path ignored : files) {
                descriptorCount++;
            }
        }
        double resident =
                Files.readAllLines(processFolder.resolve("status"), StandardCharsets.US_ASCII)
                        .stream()
                        .filter(l -> l.startsWith("VmRSS:"))
                        .mapToDouble(l -> Double.parseDouble(l.replaceAll("\\D+", "")) / 1024)
                        .findFirst()
                        .orElse(0);
        return new ProcessStats(
                processCpuMillis(processFolder), loopCpu, resident, descriptorCount);
    }

    /**
     * Not the sum over its threads: that would miss threads that have ended, such as those of the
     * JIT compiler.
     */
    private static double processCpuMillis(Path processFolder) throws IOException {
        String stat = Files.readString(processFolder.resolve("stat"), StandardCharsets.ISO_8859_1);
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Double.parseDouble(fields[USER_TIME_FIELD])
                        + Double.parseDouble(fields[USER_TIME_FIELD + 1]))
                * CPU_TICK_MILLIS;
    }

    private static double threadCpuMillis(Path thread) {
        try {
            return Double.parseDouble(Files.readString(thread.resolve("schedstat")).split(" ")[0])
                    / 1e6;
        } catch (IOException e) {
            // The thread has ended meanwhile.
            return 0;
        }
    }

    private static String threadName(Path thread) {
        try {
            return Files.readString(thread.resolve("comm")).strip();
        } catch (IOException e) {
            return "";
        }
    }

    /**
     * Heap in use after a full collection, in MB, as {@code jcmd} reports it; NaN where that fails.
     */
    static double heapAfterGcMb(long pid) throws IOException, InterruptedException {
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
        process.waitFor(JCMD_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        return text;
    }
}
