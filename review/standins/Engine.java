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
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The engine of one gateway, by the section "The engine" of the protocol page. It may have several
 * addresses; each numbers its own notices and tells only of runs that began through it. It runs a
 * request only if it was told by a client, with {@link #expect}, that it came to the gateway with
 * this id, class and body, and it starts no run of one id twice.
 */
final class Engine {
    /** One start of a run. */
    record Run(String id, String className, String bodyText, int address, long atMillis) {}

    private record Expected(String className, byte[] body, long runMillis) {}

    private static final int STORED_NOTICES = 4000;
    private static final Pattern FIELD =
            Pattern.compile("\"(\\w+)\"\\s*:\\s*(?:\"([^\"]*)\"|(-?[0-9.]+))");

    private final Record record;
    private final int cores;
    private final long startedMillis = System.currentTimeMillis();
    private final ScheduledExecutorService timers =
            Executors.newScheduledThreadPool(2, Engine::daemon);
    private final Map<String, Expected> expected = new ConcurrentHashMap<>();
    private final Map<String, Boolean> begun = new ConcurrentHashMap<>();
    private final List<Run> runs = new ArrayList<>();
    private int running;

    Engine(Record record, int cores) {
        this.record = record;
        this.cores = cores;
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "engine");
        thread.setDaemon(true);
        return thread;
    }

    /** Says that a request with this id, class and body is about to be written to the gateway. */
    void expect(String id, String className, byte[] body, long runMillis) {
        expected.put(id, new Expected(className, body, runMillis));
    }

    List<Run> runs() {
        synchronized (runs) {
            return List.copyOf(runs);
        }
    }

    /** Opens an address and returns its port. */
    int open(int number) throws IOException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Address address = new Address(number);
        daemon(() -> accept(server, address)).start();
        return server.getLocalPort();
    }

    private void accept(ServerSocket server, Address address) {
        try {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                daemon(() -> serve(socket, address)).start();
            }
        } catch (IOException e) {
            record.line("engine address %d closed", address.number);
        }
    }

    /** One address of the engine: its notices and its link. */
    private static final class Address {
        final int number;
        final List<String> notices = new ArrayList<>();
        int lastNotice;
        OutputStream link;
        Socket linkSocket;

        Address(int number) {
            this.number = number;
        }

        synchronized void attach(Socket socket, int after, String hello) throws IOException {
            Socket previous = linkSocket;
            linkSocket = socket;
            link = socket.getOutputStream();
            if (previous != null && previous != socket) {
                previous.close();
            }
            send(hello);
            int first = lastNotice - notices.size();
            for (int i = Math.max(0, after - first); i < notices.size(); i++) {
                send(notices.get(i));
            }
        }

        synchronized void done(String id, String state, long tookMillis, byte[] result) {
            String line =
                    String.format(
                            "{\"type\":\"DONE\",\"n\":%d,\"job\":\"%s\",\"state\":\"%s\","
                                    + "\"took\":%d,\"data\":\"%s\"}",
                            ++lastNotice,
                            id,
                            state,
                            tookMillis,
                            Base64.getEncoder().encodeToString(result));
            notices.add(line);
            if (notices.size() > STORED_NOTICES) {
                notices.remove(0);
            }
            send(line);
        }

        synchronized void send(String line) {
            if (link == null) {
                return;
            }
            try {
                link.write((line + "\n").getBytes(StandardCharsets.UTF_8));
            } catch (IOException e) {
                link = null;
            }
        }
    }

    private void serve(Socket socket, Address address) {
        try (socket;
                BufferedReader in =
                        new BufferedReader(
                                new InputStreamReader(
                                        socket.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                Map<String, String> fields = new HashMap<>();
                Matcher matcher = FIELD.matcher(line);
                while (matcher.find()) {
                    fields.put(
                            matcher.group(1),
                            matcher.group(2) != null ? matcher.group(2) : matcher.group(3));
                }
                command(socket, address, fields);
            }
        } catch (IOException e) {
            record.line("engine address %d: link ended: %s", address.number, e.getMessage());
        }
    }

    private void command(Socket socket, Address address, Map<String, String> fields)
            throws IOException {
        switch (fields.getOrDefault("type", "")) {
            case "ATTACH" ->
                    address.attach(
                            socket,
                            (int) Double.parseDouble(fields.get("n")),
                            String.format(
                                    "{\"type\":\"HELLO\",\"state\":\"seasoned\",\"took\":%d}",
                                    60_000 + System.currentTimeMillis() - startedMillis));
            case "RUN" -> run(address, fields);
            case "STAT" -> {
                int onCores;
                synchronized (runs) {
                    onCores = running;
                }
                address.send(
                        String.format(
                                "{\"type\":\"STATS\",\"ref\":\"%s\",\"gauges\":[%.3f,%d,0.1,4]}",
                                fields.get("ref"),
                                Math.min(1, onCores / (double) cores),
                                onCores));
            }
            default -> throw new IOException("not a command");
        }
    }

    private void run(Address address, Map<String, String> fields) {
        String id = fields.get("job");
        byte[] body = Base64.getDecoder().decode(fields.getOrDefault("data", ""));
        Expected known = expected.get(id);
        if (known == null
                || !known.className.equals(fields.get("kind"))
                || !Arrays.equals(known.body, body)) {
            record.line("engine address %d: RUN %s not carried out", address.number, id);
            address.send("{\"type\":\"NO\",\"state\":\"RUN\",\"job\":\"" + id + "\"}");
            return;
        }
        Boolean over = begun.putIfAbsent(id, false);
        if (over != null) {
            if (over) {
                address.done(id, "stale", 0, new byte[0]);
            }
            return;
        }
        String bodyText = new String(body, StandardCharsets.US_ASCII);
        synchronized (runs) {
            running++;
            runs.add(
                    new Run(
                            id,
                            known.className,
                            bodyText,
                            address.number,
                            System.currentTimeMillis()));
        }
        record.line(
                "engine address %d: runs %s of class %s: %s",
                address.number, id, known.className, bodyText);
        timers.schedule(
                () -> {
                    synchronized (runs) {
                        running--;
                    }
                    begun.put(id, true);
                    record.line("engine address %d: %s is done", address.number, id);
                    address.done(id, "done", known.runMillis, result(id));
                },
                known.runMillis,
                TimeUnit.MILLISECONDS);
    }

    /** The result of a run: no two runs have the same one. */
    static byte[] result(String id) {
        return ("result of " + id).getBytes(StandardCharsets.US_ASCII);
    }
}
