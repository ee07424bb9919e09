package tinroad.changelog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tinroad.changelog.KillLogWrites.base;
import static tinroad.changelog.KillLogWrites.quotas;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import tinroad.catalog.CatalogBuilder;
import tinroad.catalog.CatalogChange;
import tinroad.catalog.FullSnapshotDiff;
import tinroad.overload.Controller.Idempotency;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Tenant;

/**
 * Tests the files of a change log, and that a follower, whatever it finds in them, reports one line
 * and leaves the last valid catalog in use.
 */
@Timeout(600)
class ChangeLogTest {
    @TempDir private Path dir;

    private final CatalogBuilder writer = new CatalogBuilder(base());
    private final CatalogBuilder reader = new CatalogBuilder(base());

    private ChangeLogStore store() {
        return new ChangeLogStore(dir.resolve("log"), 8);
    }

    private final ChangeLogFollower[] follower = new ChangeLogFollower[1];

    private String follow() {
        if (follower[0] == null) {
            follower[0] = new ChangeLogFollower(store(), "log", null);
        }
        return KillLogWrites.follow(follower[0], reader);
    }

    private void write(long epoch, int count) throws IOException {
        for (int i = 0; i < count; i++) {
            long number = writer.current().epoch() == epoch ? writer.current().number() + 1 : 1;
            CatalogChange c = quotas(writer.current(), epoch, number, 2);
            store().append(c);
            writer.apply(c);
        }
    }

    private Path file(long epoch, long number) {
        return dir.resolve("log").resolve(new LogPosition(epoch, number).fileName());
    }

    private void assertFollowed() {
        assertEquals(writer.current().contentHash(), reader.current().contentHash());
        assertEquals(writer.current().number(), reader.current().number());
    }

    @Test
    void readsWhatItWroteToTheLastBit() throws IOException {
        RequestClass unusualClass =
                new RequestClass(
                        0.1,
                        -0.0,
                        1e300,
                        Double.MIN_VALUE,
                        1 / 3.0,
                        Idempotency.IDEMPOTENT_WITH_KEY,
                        5,
                        true,
                        0.25);
        CatalogChange c =
                new CatalogChange(
                        3,
                        9,
                        Map.of(
                                "\u20ac\ud83d\ude00\"\\",
                                unusualClass,
                                "b",
                                new RequestClass(
                                        0, 0, 7, 0, 0, Idempotency.IDEMPOTENT, 0, false, 0)),
                        Set.of("x", "y"),
                        Map.of("t", new Tenant(0.3, 0)),
                        Set.of("u"),
                        "before",
                        "after");
        byte[] bytes = ChangeCodec.write(c);
        ChangeLogStore.ChangeReadResult read =
                ChangeCodec.read(new ByteArrayInputStream(bytes), new LogPosition(3, 9));
        assertEquals(c, read.change());
        assertTrue(read.errors().isEmpty(), read.errors().lines()::toString);
        assertEquals(
                "before after",
                c.hashBefore()
                        + " "
                        + ChangeCodec.readHashes(new ByteArrayInputStream(bytes)).hashAfter());
        assertTrue(ChangeCodec.write(quotas(base(), 1, 1, 1)).length < 2048);
    }

    @Test
    void followsThePublisherAndKeepsOnlyTheNewestChanges() throws IOException {
        write(1, 5);
        assertEquals("", follow());
        assertFollowed();
        write(1, 20);
        assertEquals(8, store().positions().size());
        // The reader is too far behind. The current settings file brings it up to date.
        assertEquals(
                "log: 1-6 is missing, the oldest change after it is 1-18: the settings file as it"
                        + " is now has to be read, by SIGHUP\n",
                follow());
        assertEquals("", follow());
        assertEquals(5, reader.current().number());
        FullSnapshotDiff now = snapshot(writer);
        assertEquals(Optional.empty(), follower[0].applyFile(reader, now).logLine());
        assertFollowed();
        write(2, 1);
        assertEquals("", follow());
        assertFollowed();
        assertEquals(2, reader.current().epoch());
        assertEquals(Optional.of(new LogPosition(2, 1)), follower[0].newest());
    }

    @Test
    void findsTheVersionOfAFileThatWasReadBeforeItsChange() throws IOException {
        CatalogChange c = quotas(base(), 1, 1, 2);
        CatalogBuilder fromFile = new CatalogBuilder(base());
        fromFile.apply(c);
        CatalogBuilder early = new CatalogBuilder(fromFile.current().withVersion(0, 0));
        write(1, 2);
        ChangeLogFollower f = new ChangeLogFollower(store(), "log", null);
        assertEquals("", KillLogWrites.follow(f, early));
        assertEquals(writer.current().contentHash(), early.current().contentHash());
        // Also a gateway that is too far behind and whose content is in use again.
        write(1, 9);
        CatalogBuilder late = new CatalogBuilder(writer.current().withVersion(0, 0));
        assertTrue(KillLogWrites.follow(f, late).contains("is missing"));
        assertEquals(
                0, f.applyFile(late, snapshot(late, late)).applied().orElseThrow().delta().size());
        assertEquals(11, late.current().number());
        assertEquals("log is followed again from 1-11\n", KillLogWrites.follow(f, late));
    }

    /** Returns the content of a builder as a settings file. */
    private FullSnapshotDiff snapshot(CatalogBuilder from) {
        return snapshot(from, reader);
    }

    private static FullSnapshotDiff snapshot(CatalogBuilder from, CatalogBuilder to) {
        FullSnapshotDiff file = new FullSnapshotDiff(to.current());
        from.current().classEntries().forEach(r -> file.requestClass(r.name(), r.spec()));
        from.current().tenantEntries().forEach(t -> file.tenant(t.name(), t.spec()));
        return file;
    }

    @Test
    void appliesAFileOnlyAsAVersionOfTheLog() throws IOException {
        write(1, 3);
        CatalogBuilder old = new CatalogBuilder(base());
        assertEquals("", follow());
        assertEquals(
                "settings file not taken: it is that of 1-0, and 1-3 serves",
                follower[0].applyFile(reader, snapshot(old)).logLine().orElseThrow());
        assertEquals(Optional.empty(), follower[0].applyFile(reader, snapshot(writer)).applied());
        old.apply(quotas(old.current(), 1, 1, 7));
        assertEquals(
                "settings file not taken: log knows no change to its content, "
                        + old.current().contentHash(),
                follower[0].applyFile(reader, snapshot(old)).logLine().orElseThrow());
        assertEquals("1-3", reader.current().epoch() + "-" + reader.current().number());
        // A process that starts from a file finds its position in the log.
        assertEquals(3, follower[0].locate(writer.current().withVersion(0, 0)).number());
        assertEquals(
                List.of(1L, 0L),
                List.of(follower[0].locate(base()).epoch(), follower[0].locate(base()).number()));
        assertEquals(0, follower[0].locate(old.current().withVersion(0, 0)).epoch());
    }

    @Test
    void rejectsAChangeWithAnyBitFlippedOrByteMissing() throws IOException {
        byte[] bytes = ChangeCodec.write(quotas(base(), 1, 1, 2));
        LogPosition at = new LogPosition(1, 1);
        for (int i = 0; i < bytes.length; i++) {
            byte[] cut = Arrays.copyOf(bytes, i);
            assertThrows(
                    CorruptChangeException.class,
                    () -> ChangeCodec.read(new ByteArrayInputStream(cut), at),
                    "cut at " + i);
            for (int bit = 0; bit < 8; bit++) {
                byte[] other = bytes.clone();
                other[i] ^= (byte) (1 << bit);
                assertThrows(
                        CorruptChangeException.class,
                        () -> ChangeCodec.read(new ByteArrayInputStream(other), at),
                        i + " bit " + bit);
            }
        }
        assertThrows(
                CorruptChangeException.class,
                () -> ChangeCodec.read(new ByteArrayInputStream(bytes), new LogPosition(1, 2)));
        byte[] longer = Arrays.copyOf(bytes, bytes.length + 1);
        assertThrows(
                CorruptChangeException.class,
                () -> ChangeCodec.read(new ByteArrayInputStream(longer), at));
    }

    @Test
    void reportsACorruptOrIncompleteFileOnceAndKeepsTheCatalog() throws IOException {
        write(1, 2);
        byte[] good = Files.readAllBytes(file(1, 2));
        Files.write(file(1, 2), Arrays.copyOf(good, good.length / 2));
        // The incomplete file of a publisher has another name.
        Files.write(dir.resolve("log/" + new LogPosition(1, 3).fileName() + "-x.part"), good);
        String line = follow();
        assertTrue(line.startsWith("log: change 1-2 is damaged: it is not JSON at byte "), line);
        assertEquals("", follow() + follow());
        assertEquals(1, reader.current().number());
        assertTrue(follower[0].lastProblem().orElseThrow().contains("damaged"));
        Files.write(file(1, 2), good);
        assertEquals("", follow());
        assertFollowed();
        assertEquals(Optional.empty(), follower[0].lastProblem());
    }

    @Test
    void repairsACorruptLogByAHigherEpoch() throws IOException {
        write(1, 2);
        assertEquals("", follow());
        CatalogBuilder behind = new CatalogBuilder(base());
        behind.apply(quotas(base(), 1, 1, 2));
        Files.writeString(file(1, 2), "x");
        String line = assertThrows(IOException.class, () -> write(1, 1)).getMessage();
        assertEquals("the newest change, 1-2, is damaged: no change, or cut short", line);
        // One gateway has applied the corrupt change, the other has not. The publisher continues
        // from the content of the second one.
        ChangeLogFollower second = new ChangeLogFollower(store(), "log", null);
        assertTrue(KillLogWrites.follow(second, behind).contains("1-2 is damaged"));
        CatalogChange repair = quotas(behind.current(), 2, 1, 3);
        store().append(repair);
        String lines = "";
        for (int i = 0; i < PollMemory.POLLS_BETWEEN_RECHECKS; i++) {
            lines += KillLogWrites.follow(second, behind);
        }
        assertEquals("", lines);
        assertEquals(repair.hashAfter(), behind.current().contentHash());
        assertEquals(Optional.empty(), second.lastProblem());
        // The first gateway reports the change, and needs the settings file.
        assertTrue(follow().startsWith("change 2-1 belongs to another content than"));
        assertEquals(
                repair.hashAfter(),
                follower[0]
                        .applyFile(reader, snapshot(behind))
                        .applied()
                        .orElseThrow()
                        .next()
                        .contentHash());
        assertEquals("log is followed again from 2-1\n", follow());
    }

    @Test
    void rejectsAnInvalidChangeCompletely() throws IOException {
        write(1, 1);
        CatalogChange bad =
                new CatalogChange(
                        1,
                        2,
                        Map.of(
                                "b",
                                new RequestClass(
                                        0, 0, 0, 0, 0, Idempotency.IDEMPOTENT, 0, false, 0)),
                        Set.of(),
                        Map.of(),
                        Set.of(),
                        writer.current().contentHash(),
                        "");
        store().append(bad);
        assertEquals("change 1-2 refused: class b: deadline has to be above 0, not 0\n", follow());
        Files.delete(file(1, 2));
        // A keyword of a later version, in a file with a correct checksum.
        String text =
                new String(
                        ChangeCodec.write(quotas(writer.current(), 1, 2, 1)),
                        StandardCharsets.UTF_8);
        String body =
                text.substring(text.indexOf('\n') + 1)
                        .replace(
                                "\"classes\":[],\"orgs\":[{",
                                "\"classes\":[{\"name\":\"b\",\"deadline\":1,"
                                        + "\"semantics\":\"twice\"}],\"orgs\":[{");
        CRC32C crc = new CRC32C();
        crc.update(1);
        crc.update(body.getBytes(StandardCharsets.UTF_8));
        Files.writeString(
                file(1, 2), String.format("tinroad-change 1 %08x\n", crc.getValue()) + body);
        assertEquals(
                "change 1-2 refused: class b: semantics is none of free, guarded, single_shot:"
                        + " 'twice'\n",
                follow());
        Files.writeString(
                file(1, 2), String.format("tinroad-change 2 %08x\n", crc.getValue()) + body);
        assertEquals("log: change 1-2 is damaged: version 2, and this program reads 1\n", follow());
        assertEquals(1, reader.current().number());
    }

    @Test
    void reportsAFolderThatIsGoneEmptyOrRolledBackOnce() throws IOException {
        assertEquals("log is not there\n", follow());
        assertEquals("", follow());
        write(1, 3);
        assertEquals("", follow());
        Path log = dir.resolve("log");
        Path away = Files.move(log, dir.resolve("away"));
        assertEquals("log is not there\n", follow());
        Files.createDirectory(log);
        assertEquals("log was rolled back: 1-3 was taken, and it is empty\n", follow());
        Files.copy(away.resolve(file(1, 1).getFileName()), file(1, 1));
        assertEquals("log was rolled back: 1-3 was taken, and the newest is 1-1\n", follow());
        assertEquals("", follow());
        assertFollowed();
        // The next incarnation, which knows what this one had applied, reports the same.
        ChangeLogFollower nextIncarnation =
                new ChangeLogFollower(store(), "log", new LogPosition(1, 3));
        CatalogBuilder restarted = new CatalogBuilder(base());
        assertEquals(
                "log was rolled back: 1-3 was taken, and the newest is 1-1\n",
                KillLogWrites.follow(nextIncarnation, restarted));
        assertEquals(1, restarted.current().number());
        Files.delete(file(1, 1));
        Files.delete(log);
        Files.move(away, log);
        assertEquals("log is followed again from 1-3\n", follow());
        assertEquals("", KillLogWrites.follow(nextIncarnation, restarted));
        assertEquals(3, restarted.current().number());
    }

    @Test
    void rejectsAnEarlierEpochAfterItIsOver() throws IOException {
        write(1, 2);
        CatalogChange late = quotas(writer.current(), 1, 3, 5);
        write(2, 1);
        assertEquals("", follow());
        assertThrows(IOException.class, () -> store().append(late));
        Files.write(file(1, 3), ChangeCodec.write(late));
        assertEquals(
                "log: change 1-3 came after its epoch was over: not taken, 2 goes on\n", follow());
        assertFollowed();
        // It does not block the next changes, of this epoch and of a higher one.
        write(2, 1);
        write(3, 1);
        follow();
        assertFollowed();
    }

    @Test
    void reportsTwoPublishersWithOneEpoch() throws Exception {
        write(1, 1);
        assertEquals("", follow());
        String other =
                assertThrows(IOException.class, () -> store().append(quotas(base(), 1, 1, 9)))
                        .getMessage();
        assertEquals("change 1-1 is taken, or its epoch is over: the newest is 1-1", other);
        assertTrue(
                assertThrows(IOException.class, () -> store().append(quotas(base(), 1, 2, 9)))
                        .getMessage()
                        .startsWith("change 1-2 leads on from content "));
        assertTrue(
                assertThrows(
                                IOException.class,
                                () -> store().append(quotas(writer.current(), 1, 3, 9)))
                        .getMessage()
                        .contains("does not follow"));
        // If a publisher bypasses the checks, the reader reports it.
        Files.write(file(1, 2), ChangeCodec.write(quotas(base(), 1, 2, 9)));
        assertTrue(
                follow().startsWith(
                                "change 1-2 belongs to another content than "
                                        + writer.current().contentHash()));
        Files.delete(file(1, 2));
        Files.write(file(1, 1), ChangeCodec.write(quotas(base(), 1, 1, 9)));
        Files.createFile(dir.resolve("log/touched"));
        assertTrue(follow().startsWith("change 1-1 belongs to another content than "));
        assertFollowed();
    }

    @Test
    void letsOneOfTwoConcurrentPublishersWriteEachChange() throws Exception {
        ChangeLogStore log = new ChangeLogStore(dir.resolve("log"), 1000);
        AtomicInteger written = new AtomicInteger();
        Thread[] publishers = new Thread[2];
        for (int w = 0; w < publishers.length; w++) {
            int entries = w + 1;
            publishers[w] =
                    new Thread(
                            () -> {
                                CatalogBuilder own = new CatalogBuilder(base());
                                ChangeLogFollower f = new ChangeLogFollower(log, "log", null);
                                for (int tries = 0;
                                        tries < 1000 && own.current().number() < 60;
                                        tries++) {
                                    try {
                                        log.append(
                                                quotas(
                                                        own.current(),
                                                        1,
                                                        own.current().number() + 1,
                                                        entries));
                                        written.incrementAndGet();
                                    } catch (IOException e) {
                                        // This publisher is notified, and continues from what the
                                        // other one wrote.
                                    }
                                    KillLogWrites.follow(f, own);
                                }
                            });
            publishers[w].start();
        }
        for (Thread w : publishers) {
            w.join();
        }
        follower[0] = new ChangeLogFollower(log, "log", null);
        assertEquals("", follow());
        assertTrue(written.get() >= 60, "written " + written);
        assertEquals(written.get(), reader.current().number());
        assertEquals(written.get(), log.positions().size());
        try (Stream<Path> files = Files.list(dir.resolve("log"))) {
            assertEquals(List.of(), files.filter(p -> p.toString().endsWith(".part")).toList());
        }
    }

    @Test
    void deletesTheIncompleteFileOfAKilledPublisher() throws IOException {
        write(1, 1);
        Path incomplete =
                Files.write(
                        dir.resolve("log/" + new LogPosition(1, 1).fileName() + "-killed.part"),
                        new byte[20]);
        write(1, 1);
        assertTrue(Files.notExists(incomplete));
    }

    @Test
    void survivesFiftyKillsWhileWriting() throws Exception {
        assertEquals(
                "kills 50, damaged 0, lost 0",
                KillLogWrites.campaign(dir.resolve("killed"), 50, 1));
    }
}
