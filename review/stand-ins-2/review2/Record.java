package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The file record.txt of a case: what was sent, answered and run, with Unix times in ms. */
final class Record implements AutoCloseable {
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    static double now() {
        return System.currentTimeMillis();
    }

    synchronized void line(String text) {
        out.println(System.currentTimeMillis() + " " + text);
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
