package review2;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stand-in for the engine of one gateway process, as the protocol page describes it: one link at
 * a time, a numbered notice for each end of a run, notices kept over links, NO for what it does not
 * know. How long a run takes is the case's choice; runs do not slow each other down.
 */
final class Engine implements AutoCloseable {
    private static final Pattern FIELD = Pattern.compile("\"(\\w+)\":(?:\"([^\"]*)\"|(-?[0-9]+))");

    /** One run that was started. */
    record Run(Try request, double startedAt, byte[] result) {}

    final ServerSocket listener;
    private final Record record;
    private final String name;
    private final double cores;
    private final ToLongFunction<Try> runMillis;
    private final long startedAt = System.currentTimeMillis() - 60_000;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(
            task -> daemon(task, "engine-timer"));

    /** Requests that came to the gateway process of this engine, by id. */
    private final Map<String, Try> came = new HashMap<>();

    private final Map<String, Run> running = new HashMap<>();
    private final Set<String> ended = new HashSet<>();
    private final List<String> notices = new ArrayList<>();
    private final List<Run> runs = new ArrayList<>();
    private Socket link;
    private long attaches;

    Engine(String name, double cores, Record record, ToLongFunction<Try> runMillis)
            throws IOException {
        this.name = name;
        this.cores = cores;
        this.record = record;
        this.runMillis = runMillis;
        listener = new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"));
        daemon(this::accept, "engine-accept").start();
    }

    static Thread daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Tells the engine of a request that is about to be written to its gateway. */
    synchronized void came(Try request) {
        came.put(request.id, request);
    }

    synchronized List<Run> runs() {
        return List.copyOf(runs);
    }

    synchronized boolean started(String id) {
        return running.containsKey(id) || ended.contains(id);
    }

    synchronized long attaches() {
        return attaches;
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                daemon(() -> read(socket), "engine-link").start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void read(Socket socket) {
        try (socket) {
            BufferedReader in = new BufferedReader(
                    new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                Map<String, String> fields = new HashMap<>();
                Matcher matcher = FIELD.matcher(line);
                while (matcher.find()) {
                    fields.put(matcher.group(1),
                            matcher.group(2) != null ? matcher.group(2) : matcher.group(3));
                }
                if (!command(socket, fields)) {
                    return;
                }
            }
        } catch (IOException e) {
            // The link ended.
        }
    }

    private synchronized boolean command(Socket socket, Map<String, String> fields)
            throws IOException {
        switch (fields.getOrDefault("type", "")) {
            case "ATTACH" -> {
                if (link != null && link != socket) {
                    link.close();
                }
                link = socket;
                attaches++;
                send(socket, "{\"type\":\"HELLO\",\"state\":\"seasoned\",\"took\":"
                        + (System.currentTimeMillis() - startedAt) + "}");
                int after = Integer.parseInt(fields.get("n"));
                for (int i = after; i < notices.size(); i++) {
                    send(socket, notices.get(i));
                }
                record.line(name + " attached n=" + after);
            }
            case "RUN" -> run(socket, fields);
            case "STAT" -> send(socket, "{\"type\":\"STATS\",\"ref\":\"" + fields.get("ref")
                    + "\",\"gauges\":[" + Math.min(1, running.size() / cores) + ","
                    + running.size() + ",0.2,8]}");
            default -> {
                return false;
            }
        }
        return true;
    }

    private void run(Socket socket, Map<String, String> fields) throws IOException {
        String id = fields.get("job");
        Try request = came.get(id);
        byte[] body = Base64.getDecoder().decode(fields.getOrDefault("data", ""));
        if (request == null || !request.className.equals(fields.get("kind"))
                || !Arrays.equals(request.body, body)) {
            record.line(name + " NO " + id);
            send(socket, "{\"type\":\"NO\",\"state\":\"RUN\",\"job\":\"" + id + "\"}");
        } else if (running.containsKey(id)) {
            record.line(name + " RUN again, runs already " + id);
        } else if (ended.contains(id)) {
            record.line(name + " RUN stale " + id);
            notice("\"job\":\"" + id + "\",\"state\":\"stale\",\"took\":0");
        } else {
            long millis = runMillis.applyAsLong(request);
            byte[] result = ("result of " + id + " by " + name + " run " + runs.size())
                    .getBytes(StandardCharsets.UTF_8);
            Run run = new Run(request, Record.now(), result);
            running.put(id, run);
            runs.add(run);
            record.line(name + " RUN " + request + " for " + millis + " ms");
            timer.schedule(() -> end(id, millis), millis, TimeUnit.MILLISECONDS);
        }
    }

    private synchronized void end(String id, long millis) {
        Run run = running.remove(id);
        if (run == null) {
            return;
        }
        ended.add(id);
        record.line(name + " DONE " + id);
        notice("\"job\":\"" + id + "\",\"state\":\"done\",\"took\":" + millis + ",\"data\":\""
                + Base64.getEncoder().encodeToString(run.result) + "\"");
    }

    private void notice(String fields) {
        String line = "{\"type\":\"DONE\",\"n\":" + (notices.size() + 1) + "," + fields + "}";
        notices.add(line);
        try {
            if (link != null) {
                send(link, line);
            }
        } catch (IOException e) {
            // Kept for the next link.
        }
    }

    /** Breaks the link, as the protocol page says that it may. */
    synchronized void breakLink() throws IOException {
        if (link != null) {
            link.close();
            link = null;
        }
    }

    private static void send(Socket socket, String line) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write((line + "\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    @Override
    public synchronized void close() throws IOException {
        listener.close();
        timer.shutdownNow();
        if (link != null) {
            link.close();
        }
    }
}
