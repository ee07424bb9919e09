import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One connection of a client proxy: FastCGI 1.0, role Responder, KEEP_CONN, up to 32 open requests.
 */
final class ProxyConnection implements AutoCloseable {
    private static final int BEGIN = 1;
    private static final int END = 3;
    private static final int PARAMS = 4;
    private static final int STDIN = 5;
    private static final int STDOUT = 6;
    private static final int OVERLOADED = 2;
    private static final int CROSSING_MILLIS = 50;

    private final Socket socket = new Socket();
    private final OutputStream out;
    private final Record record;
    private final Map<Integer, Request> open = new HashMap<>();
    private final Map<Integer, ByteArrayOutputStream> answers = new HashMap<>();

    /** Gets each request that was written at most 50 ms before the connection ended, once. */
    private final java.util.function.Consumer<Request> crossed;

    private int lastId;
    private boolean ended;

    ProxyConnection(int port, Record record) throws IOException {
        this(port, record, request -> {});
    }

    ProxyConnection(int port, Record record, java.util.function.Consumer<Request> crossed)
            throws IOException {
        this.record = record;
        this.crossed = crossed;
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
        out = socket.getOutputStream();
        Thread reader = new Thread(this::read, "proxy");
        reader.setDaemon(true);
        reader.start();
    }

    synchronized int openRequests() {
        return open.size();
    }

    synchronized boolean ended() {
        return ended;
    }

    int localPort() {
        return socket.getLocalPort();
    }

    /** Writes the request whole; false if the connection has ended. */
    boolean send(Request request) {
        return send(request, 0) != null;
    }

    /**
     * Writes the request but for its last bytes, and returns those; null if the connection has ended.
     */
    synchronized byte[] send(Request request, int keptBack) {
        if (ended) {
            return null;
        }
        int id = lastId = lastId % 60_000 + 1;
        if (!request.sentAgain) {
            request.arrivedAtMillis = System.currentTimeMillis();
        }
        byte[] bytes = bytes(id, request);
        int first = bytes.length - keptBack;
        open.put(id, request);
        record.line(
                "sent %s class %s on connection %d%s",
                request.id,
                request.className,
                localPort(),
                first < bytes.length ? ": first " + first + " of " + bytes.length + " bytes" : "");
        request.writtenAtMillis = System.currentTimeMillis();
        if (!write(bytes, 0, first)) {
            return null;
        }
        return java.util.Arrays.copyOfRange(bytes, first, bytes.length);
    }

    /** Writes the rest of a request of which the first bytes were written before. */
    synchronized boolean sendRest(Request request, byte[] rest) {
        record.line("sent %s: the rest, %d bytes", request.id, rest.length);
        return !ended && write(rest, 0, rest.length);
    }

    private boolean write(byte[] bytes, int from, int length) {
        try {
            out.write(bytes, from, length);
            return true;
        } catch (IOException e) {
            end(e.getMessage());
            return false;
        }
    }

    static byte[] bytes(int id, Request request) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("REQUEST_METHOD", "POST");
        fields.put("SCRIPT_NAME", "/v1/" + request.className);
        fields.put("HTTP_REQ_ID", request.id);
        fields.put("HTTP_REQ_TIME", Long.toString(request.arrivedAtMillis));
        fields.put("HTTP_REQ_FROM", "4");
        fields.put("HTTP_REQ_OWNER", request.tenant);
        fields.put("HTTP_REQ_KB", "24.5");
        fields.put("HTTP_REQ_RANK", "0.6250");
        fields.putAll(request.moreFields);
        ByteArrayOutputStream parameters = new ByteArrayOutputStream();
        fields.forEach(
                (name, value) -> {
                    parameters.write(name.length());
                    parameters.write(value.length());
                    parameters.writeBytes(name.getBytes(StandardCharsets.US_ASCII));
                    parameters.writeBytes(value.getBytes(StandardCharsets.US_ASCII));
                });
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        put(bytes, BEGIN, id, new byte[] {0, 1, 1, 0, 0, 0, 0, 0});
        put(bytes, PARAMS, id, parameters.toByteArray());
        put(bytes, PARAMS, id, new byte[0]);
        int half = request.body.length / 2;
        put(bytes, STDIN, id, java.util.Arrays.copyOf(request.body, half));
        put(
                bytes,
                STDIN,
                id,
                java.util.Arrays.copyOfRange(request.body, half, request.body.length));
        put(bytes, STDIN, id, new byte[0]);
        return bytes.toByteArray();
    }

    /** Appends one record; an empty body gives the record that ends its stream. */
    static void put(ByteArrayOutputStream bytes, int type, int id, byte[] content) {
        bytes.write(1);
        bytes.write(type);
        bytes.write(id >> 8);
        bytes.write(id);
        bytes.write(content.length >> 8);
        bytes.write(content.length);
        bytes.write(0);
        bytes.write(0);
        bytes.writeBytes(content);
    }

    private void read() {
        try (DataInputStream in = new DataInputStream(socket.getInputStream())) {
            while (true) {
                int version = in.readUnsignedByte();
                int type = in.readUnsignedByte();
                int id = in.readUnsignedShort();
                int length = in.readUnsignedShort();
                int padding = in.readUnsignedByte();
                in.readByte();
                byte[] content = new byte[length];
                in.readFully(content);
                in.skipNBytes(padding);
                if (version != 1) {
                    throw new IOException("not FastCGI");
                }
                if (type == STDOUT) {
                    answers.computeIfAbsent(id, i -> new ByteArrayOutputStream())
                            .writeBytes(content);
                } else if (type == END) {
                    answered(id, content[4] & 0xff);
                }
            }
        } catch (IOException | RuntimeException e) {
            end(e.toString());
        }
    }

    private void answered(int id, int protocolStatus) {
        ByteArrayOutputStream answer = answers.remove(id);
        Request request;
        synchronized (this) {
            request = open.remove(id);
        }
        if (request == null) {
            record.line("answer under number %d, where no request is open", id);
            return;
        }
        String text =
                answer == null ? "" : new String(answer.toByteArray(), StandardCharsets.US_ASCII);
        int headEnd = text.indexOf("\r\n\r\n");
        request.answers++;
        request.answeredAtMillis = System.currentTimeMillis();
        if (protocolStatus == OVERLOADED) {
            request.status = 503;
        } else if (text.startsWith("Status: ") && headEnd > 0) {
            request.result = text.substring(headEnd + 4).getBytes(StandardCharsets.US_ASCII);
            request.status = Integer.parseInt(text.substring(8, 11));
        }
        record.line(
                "answer to %s after %d ms: %s",
                request.id,
                request.answeredAtMillis - request.arrivedAtMillis,
                request.outcome());
    }

    private void end(String cause) {
        List<Request> unanswered = new java.util.ArrayList<>();
        synchronized (this) {
            endOnce(cause, unanswered);
        }
        for (Request request : unanswered) {
            if (!request.sentAgain
                    && request.connectionEndedAtMillis - request.writtenAtMillis
                            <= CROSSING_MILLIS) {
                request.sentAgain = true;
                request.connectionEndedAtMillis = 0;
                crossed.accept(request);
            }
        }
    }

    private void endOnce(String cause, List<Request> unanswered) {
        if (ended) {
            return;
        }
        ended = true;
        long nowMillis = System.currentTimeMillis();
        unanswered.addAll(open.values());
        for (Request request : List.copyOf(open.values())) {
            request.connectionEndedAtMillis = nowMillis;
            record.line(
                    "connection %d ended (%s) %d ms after %s was written, without an answer",
                    localPort(), cause, nowMillis - request.writtenAtMillis, request.id);
        }
        open.clear();
        close();
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            record.line("close: %s", e.getMessage());
        }
    }
}
