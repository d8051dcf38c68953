package sandpaddle.integration;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sandpaddle.eventloop.EventLoop;
import sandpaddle.mysql.MysqlFrontend;
import sandpaddle.query.Answer;
import sandpaddle.query.Query;
import sandpaddle.query.QueryService;
import sandpaddle.query.ResultSet;

/** Answers with a note in the MySQL protocol: the warning count of the EOF packets, and {@code SHOW WARNINGS}. */
public class ResultNoteIntegrationTest {
    private static final int WARNING_COUNT_LOW_BYTE = 1;
    private static final int WARNING_COUNT_HIGH_BYTE = 2;

    private final List<Query> received = new CopyOnWriteArrayList<>(); // added by the event loop's thread
    private volatile Answer nextAnswer;
    private volatile boolean stopRequested;
    private CompletableFuture<Void> loopEnd;
    private EventLoop loop;
    private Client client;

    /** Starts a front end with a service that answers each query with {@code nextAnswer}, and logs in. */
    @BeforeMethod
    public void open() throws IOException {
        loop = new EventLoop();
        stopRequested = false;
        loopEnd = new CompletableFuture<>();
        var frontend = new MysqlFrontend(
                loop,
                new InetSocketAddress("127.0.0.1", 0),
                new QueryService() {
                    @Override
                    public boolean isReady() {
                        return true;
                    }

                    @Override
                    public PendingQuery submit(
                            Query query, Duration waited, BooleanSupplier connectionCheck, Consumer<Answer> callback) {
                        received.add(query);
                        callback.accept(nextAnswer);
                        return () -> {};
                    }
                },
                8,
                1,
                1);
        ScriptedEngine.daemon(() -> {
            try {
                loop.run(() -> {
                    if (stopRequested) {
                        frontend.stopListening();
                        loop.stop();
                    }
                });
                loopEnd.complete(null);
            } catch (IOException e) {
                loopEnd.completeExceptionally(e);
            }
        });
        client = Client.connect(frontend.address());
    }

    /** Closes the client and stops the event loop. */
    @AfterMethod
    public void close() throws IOException {
        client.close();
        stopRequested = true;
        loop.wakeup();
        loopEnd.orTimeout(8, TimeUnit.SECONDS).join();
    }

    private static Answer.Served served(String note) {
        return new Answer.Served(new ResultSet(List.of("a\tb\tc\n".getBytes(StandardCharsets.US_ASCII))), note);
    }

    /** Executes a query and returns the warning counts of the two EOF packets. */
    private List<Integer> warningCounts(int trace) throws IOException {
        client.write(Client.query(GatewayFixture.queryComment("lookup", trace, 5000) + "SELECT 1"));
        List<Integer> counts = new ArrayList<>();
        while (counts.size() < 2) {
            byte[] p = client.readPacket();
            if ((p[0] & 0xFF) == 0xFE && p.length == 5) {
                counts.add(p[WARNING_COUNT_LOW_BYTE] & 0xFF | (p[WARNING_COUNT_HIGH_BYTE] & 0xFF) << 8);
            }
        }
        return counts;
    }

    /**
     * Guards against a stored answer that the client takes for a fresh one: its note counts as a warning and is
     * listed.
     */
    @Test
    public void countsAndShowsNoteUntilNextAnswer() throws IOException {
        assertEquals(client.execute("SHOW WARNINGS"), "");
        nextAnswer = served("stored answer,\tage 5000 ms\n");
        assertEquals(warningCounts(1), List.of(1, 1));
        assertEquals(client.execute("show warnings ;"), "Note|1105|stored answer, age 5000 ms ");
        assertEquals(client.execute("SHOW WARNINGS"), "Note|1105|stored answer, age 5000 ms ");
        nextAnswer = served("");
        assertEquals(warningCounts(2), List.of(0, 0));
        assertEquals(client.execute("SHOW WARNINGS"), "");
    }

    /** A rejection clears the note of an earlier answer. */
    @Test
    public void clearsNoteOfEarlierAnswerAfterRejection() throws IOException {
        nextAnswer = served("stored");
        warningCounts(1);
        nextAnswer = new Answer.Rejected(java.time.Duration.ofMillis(250));
        assertEquals(
                client.execute(GatewayFixture.queryComment("lookup", 2, 5000) + "SELECT 1"), "1203 refused, pause=250");
        assertEquals(client.execute("SHOW WARNINGS"), "");
    }

    /** The field {@code customer} reaches the query as its tenant, and the login as its user. */
    @Test
    public void passesCustomerFieldAsTenant() throws IOException {
        nextAnswer = served("");
        received.clear();
        assertEquals(
                client.execute(GatewayFixture.queryComment("lookup", 1, 5000).replace(" */", ",customer=acme west */")
                        + "SELECT 1"),
                "a|b|c");
        assertEquals(client.execute(GatewayFixture.queryComment("lookup", 2, 5000) + "SELECT 1"), "a|b|c");
        assertEquals(received.stream().map(Query::tenant).toList(), List.of("acme west", ""));
        assertEquals(received.get(0).user(), "app");
    }
}
