package tinroad.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** A gateway's operators' door, as commands call it. */
final class AdminClient {
    private static final Duration PATIENCE = Duration.ofSeconds(5);

    /** What is made of the answer. */
    interface Reader {
        void read(JsonNode answer) throws IOException;
    }

    private AdminClient() {}

    /**
     * Asks for {@code path}, and tells in one line what went wrong; {@code what} names what was
     * asked for.
     */
    static int ask(String control, String path, String what, PrintStream err, Reader reader) {
        try {
            HttpRequest call =
                    HttpRequest.newBuilder(URI.create("http://" + control + path))
                            .timeout(PATIENCE)
                            .build();
            HttpResponse<byte[]> answer =
                    HttpClient.newBuilder()
                            .version(HttpClient.Version.HTTP_1_1)
                            .connectTimeout(PATIENCE)
                            .build()
                            .send(call, HttpResponse.BodyHandlers.ofByteArray());
            if (answer.statusCode() != 200) {
                throw new IOException("status " + answer.statusCode() + ", no " + what);
            }
            reader.read(new ObjectMapper().readTree(answer.body()));
            return Command.FINE;
        } catch (IllegalArgumentException e) {
            err.println("tinroad: --control is no ADDRESS:PORT: '" + control + "'");
            return Command.WRONG;
        } catch (IOException e) {
            err.println(
                    "tinroad: no "
                            + what
                            + " from "
                            + control
                            + ": "
                            + (e.getMessage() == null ? e.toString() : e.getMessage()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return Command.FAILED;
    }
}
