package review2;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** One FastCGI connection of a client proxy, as the protocol page describes it. */
final class Proxy implements AutoCloseable {
    private static final int BEGIN = 1;
    private static final int ABORT = 2;
    private static final int END = 3;
    private static final int PARAMS = 4;
    private static final int STDIN = 5;
    private static final int STDOUT = 6;

    private final Socket socket = new Socket();
    private final Record record;
    private final String name;
    private final int number;
    private final Map<Integer, Try> open = new HashMap<>();
    private final Map<Integer, ByteArrayOutputStream> answers = new HashMap<>();
    private int lastNumber;
    private boolean answeredOnce;
    private volatile boolean ended;

    Proxy(String name, int number, String address, Record record) throws IOException {
        this.name = name;
        this.number = number;
        this.record = record;
        int colon = address.lastIndexOf(':');
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(address.substring(0, colon),
                Integer.parseInt(address.substring(colon + 1))), 2000);
        Engine.daemon(this::read, "proxy-" + name).start();
    }

    /** Whether the gateway has ended the connection, as far as the client has read. */
    boolean ended() {
        return ended;
    }

    synchronized int openRequests() {
        return open.size();
    }

    /** Returns the records of a request, whose number of FastCGI is taken from here on. */
    synchronized byte[] begin(Try request) throws IOException {
        int fcgiId = lastNumber = lastNumber % 65535 + 1;
        request.cameAt = System.currentTimeMillis();
        request.onNewConnection = !answeredOnce;
        open.put(fcgiId, request);
        ByteArrayOutputStream params = new ByteArrayOutputStream();
        param(params, "REQUEST_METHOD", "POST");
        param(params, "SCRIPT_NAME", "/v1/" + request.className);
        param(params, "HTTP_REQ_ID", request.id);
        param(params, "HTTP_REQ_TIME", Long.toString(request.cameAt));
        param(params, "HTTP_REQ_FROM", Integer.toString(number));
        param(params, "HTTP_REQ_OWNER", request.tenant);
        if (request.waitMillis > 0) {
            param(params, "HTTP_REQ_WAIT_MS", Long.toString(request.waitMillis));
        }
        if (request.retry) {
            param(params, "HTTP_REQ_RETRY", "1");
        }
        param(params, "HTTP_REQ_KB", "30.5");
        param(params, "HTTP_REQ_RANK", "0.5000");
        if (request.token != null) {
            param(params, "HTTP_REQ_TOKEN", request.token);
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        record(out, BEGIN, fcgiId, new byte[] {0, 1, 1, 0, 0, 0, 0, 0});
        record(out, PARAMS, fcgiId, params.toByteArray());
        record(out, PARAMS, fcgiId, new byte[0]);
        if (request.body.length > 0) {
            record(out, STDIN, fcgiId, request.body);
        }
        record(out, STDIN, fcgiId, new byte[0]);
        return out.toByteArray();
    }

    /** Makes one health check, on a connection of its own; returns its status, 0 without one. */
    static int healthCheck(String address, Record record) {
        Try check = new Try("0", "", null, "", new byte[0], 0, false);
        try (Proxy proxy = new Proxy("health check", 0, address, record)) {
            ByteArrayOutputStream params = new ByteArrayOutputStream();
            param(params, "REQUEST_METHOD", "GET");
            param(params, "SCRIPT_NAME", "/healthz");
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            record(out, BEGIN, 1, new byte[] {0, 1, 1, 0, 0, 0, 0, 0});
            record(out, PARAMS, 1, params.toByteArray());
            record(out, PARAMS, 1, new byte[0]);
            record(out, STDIN, 1, new byte[0]);
            synchronized (proxy) {
                proxy.open.put(1, check);
            }
            byte[] bytes = out.toByteArray();
            proxy.write(bytes, 0, bytes.length);
            check.await(1000);
            return check.status;
        } catch (IOException e) {
            return 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }

    /** Sends a whole request. */
    void send(Try request) throws IOException {
        byte[] bytes = begin(request);
        record.line(name + " writes " + request);
        write(bytes, 0, bytes.length);
        written(request);
    }

    void write(byte[] bytes, int from, int to) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(bytes, from, to - from);
        out.flush();
    }

    /** Notes that the last byte of a request is written. */
    void written(Try request) {
        request.writtenAt = System.currentTimeMillis();
    }

    private static void param(ByteArrayOutputStream out, String name, String value)
            throws IOException {
        out.write(name.length());
        out.write(value.length());
        out.write(name.getBytes(StandardCharsets.US_ASCII));
        out.write(value.getBytes(StandardCharsets.US_ASCII));
    }

    private static void record(ByteArrayOutputStream out, int type, int id, byte[] content)
            throws IOException {
        out.write(new byte[] {1, (byte) type, (byte) (id >> 8), (byte) id,
            (byte) (content.length >> 8), (byte) content.length, 0, 0});
        out.write(content);
    }

    private void read() {
        try {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            while (true) {
                in.readUnsignedByte();
                int type = in.readUnsignedByte();
                int id = in.readUnsignedShort();
                byte[] content = new byte[in.readUnsignedShort()];
                int padding = in.readUnsignedByte();
                in.readUnsignedByte();
                in.readFully(content);
                in.skipNBytes(padding);
                if (type == STDOUT) {
                    answers.computeIfAbsent(id, i -> new ByteArrayOutputStream()).write(content);
                } else if (type == END) {
                    answered(id, content[4]);
                }
            }
        } catch (IOException e) {
            ended = true;
            closeSocket();
            synchronized (this) {
                open.values().forEach(request -> {
                    request.connectionEnded();
                    record.line(name + " connection ended, open: " + request);
                });
                open.clear();
            }
        }
    }

    private void answered(int id, int protocolStatus) {
        ByteArrayOutputStream bytes = answers.remove(id);
        String text = bytes == null ? "" : bytes.toString(StandardCharsets.ISO_8859_1);
        int headerEnd = text.indexOf("\r\n\r\n");
        int status = text.startsWith("Status: ") ? Integer.parseInt(text.substring(8, 11)) : 0;
        byte[] result = headerEnd < 0 ? new byte[0]
                : text.substring(headerEnd + 4).getBytes(StandardCharsets.ISO_8859_1);
        Try request;
        synchronized (this) {
            request = open.remove(id);
            answeredOnce = true;
        }
        if (request != null) {
            request.answered(status, protocolStatus, result);
            record.line(name + " reads the answer of " + request + ": " + request.fate());
        } else {
            record.line(name + " reads an answer under number " + id + " that is not open");
        }
    }

    /** A client whose connection has ended closes its side, too. */
    private void closeSocket() {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }

    @Override
    public void close() {
        closeSocket();
    }
}
