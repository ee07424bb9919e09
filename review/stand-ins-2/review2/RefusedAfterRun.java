package review2;

/**
 * A caller sends a further try of a keyed request, whose first try runs, and is silent for 2.2 s
 * after the first bytes of it. No try may be refused once one has run.
 */
final class RefusedAfterRun extends Case {
    private static final long SILENCE_MILLIS = 2200;
    private static final long RUN_MILLIS = 2400;
    private static final long LONG_RUN_MILLIS = 6000;
    private static final int FIRST_PIECE_BYTES = 5;

    public static void main(String[] args) {
        Case.main(new RefusedAfterRun(), args);
    }

    @Override
    String play() throws Exception {
        try (Engine engine = new Engine("engine", 6, record, request ->
                request.className.equals("subset") ? LONG_RUN_MILLIS : RUN_MILLIS)) {
            Gateway gateway = new Gateway("gateway", "127.0.0.1:" + Gateway.freePort(),
                    engine.address(), rosterAddress(), 5000, Settings.FONTS, directory, tmpdir,
                    record);
            gateway.awaitReady(40_000);
            Proxy proxy = new Proxy("connection 0", 0, gateway.listen, record);
            String token = newToken();
            byte[] body = newBody();
            Try first = new Try(newId(), "licens", token, "kommun", body, 1500, false);
            Try second = new Try(newId(), "licens", token, "kommun", body, 7900, true);
            // Another request of the same client proxy, which runs all the time.
            Try other = new Try(newId(), "subset", null, "kommun", newBody(), 13_000, false);
            engine.came(other);
            engine.came(first);
            engine.came(second);
            proxy.send(other);
            proxy.send(first);
            // The caller waits for 1.5 s, then tries again at the same gateway.
            sleep(1500);
            byte[] bytes = proxy.begin(second);
            int cut = trouble ? FIRST_PIECE_BYTES : bytes.length;
            proxy.write(bytes, 0, cut);
            record.line("connection 0 writes " + cut + " bytes of " + second);
            if (trouble) {
                sleep(SILENCE_MILLIS);
                if (proxy.ended()) {
                    throw new IllegalStateException("the connection ended in the silence");
                }
                proxy.write(bytes, cut, bytes.length);
            }
            proxy.written(second);
            second.await(9000);
            record.line("first try: " + first.fate());
            record.line("second try: " + second.fate());
            boolean ran = engine.started(first.id);
            record.line("other request: " + other.fate());
            return ran && second.refused()
                    ? "the second try was refused, though the first one was ordered to run "
                            + (second.answeredAt - (long) engine.runs().get(1).startedAt())
                            + " ms before"
                    : null;
        }
    }
}
