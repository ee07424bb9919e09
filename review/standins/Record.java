import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes record.txt: one line for each thing that was sent, answered, run or done. */
final class Record implements AutoCloseable {
    /** Exit status of a play in which the rule was broken; 1 is that of any failed program. */
    static final int BROKEN = 11;

    private final PrintWriter out;
    private final long startMillis = System.currentTimeMillis();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    synchronized void line(String format, Object... arguments) {
        out.printf("%8d ms  ", System.currentTimeMillis() - startMillis);
        out.println(String.format(format, arguments));
    }

    /** Writes a line to the record and to standard output. */
    void say(String format, Object... arguments) {
        line(format, arguments);
        System.out.println(String.format(format, arguments));
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
