package tinroad.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.github.freva.asciitable.AsciiTable;
import com.github.freva.asciitable.Column;
import com.github.freva.asciitable.HorizontalAlign;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.stream.IntStream;

/** The formats in which a command prints rows. */
public enum Output {
    /** A table of aligned columns, for people. */
    TABLE,
    /** A JSON array of objects, for programs. */
    JSON;

    /** Prints rows of texts and numbers under these column names; an absent value is null. */
    void print(List<String> columnNames, List<List<Object>> rows, PrintStream out) {
        out.println(this == TABLE ? table(columnNames, rows) : json(columnNames, rows));
    }

    private static String table(List<String> columnNames, List<List<Object>> rows) {
        Column[] columns = new Column[columnNames.size()];
        for (int i = 0; i < columns.length; i++) {
            columns[i] = column(columnNames.get(i), i, rows);
        }
        Object[][] cells = rows.stream().map(Output::cellTexts).toArray(Object[][]::new);
        return AsciiTable.getTable(AsciiTable.NO_BORDERS, columns, cells).stripTrailing();
    }

    /** Returns a column's format: a column that has numbers is aligned to the right. */
    private static Column column(String name, int index, List<List<Object>> rows) {
        boolean numeric = rows.stream().anyMatch(row -> row.get(index) instanceof Number);
        return new Column()
                .header(name)
                .headerAlign(HorizontalAlign.LEFT)
                .dataAlign(numeric ? HorizontalAlign.RIGHT : HorizontalAlign.LEFT);
    }

    private static Object[] cellTexts(List<Object> row) {
        return row.stream().map(value -> value == null ? "-" : value.toString()).toArray();
    }

    private static String json(List<String> columnNames, List<List<Object>> rows) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json =
                new JsonFactory().createGenerator(text).useDefaultPrettyPrinter()) {
            json.writeStartArray();
            for (List<Object> row : rows) {
                json.writeStartObject();
                for (int i : IntStream.range(0, columnNames.size()).toArray()) {
                    json.writeFieldName(columnNames.get(i));
                    Object value = row.get(i);
                    if (value instanceof Long || value instanceof Integer) {
                        json.writeNumber(((Number) value).longValue());
                    } else if (value instanceof Number number) {
                        json.writeNumber(number.doubleValue());
                    } else {
                        json.writeString((String) value);
                    }
                }
                json.writeEndObject();
            }
            json.writeEndArray();
        } catch (IOException e) {
            // Can't happen: the writer is in memory.
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }
}
