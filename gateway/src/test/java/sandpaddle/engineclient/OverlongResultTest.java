package sandpaddle.engineclient;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sandpaddle.query.AttemptEnd;

/** Results whose stated length is shorter than what the engine sends. */
public class OverlongResultTest extends AttemptFixture {
    private static final String ROWS = "a\tb\tc\nd\te\tf\n";
    private static final int ROW_BYTES = 6;

    private final RecordingListener listener = new RecordingListener();

    @BeforeMethod
    public void clearEnds() {
        listener.ends.clear();
    }

    private static String firstPage(int totalPages, int statedLength) {
        return "HTTP/1.1 200 -\r\nResult-Pages: %d\r\nContent-Length: %d\r\n\r\n%s"
                .formatted(totalPages, statedLength, ROWS);
    }

    private static String page(int number, int statedLength) {
        return "HTTP/1.1 200 -\r\nResult-Page: %d\r\nContent-Length: %d\r\n\r\n%s"
                .formatted(number, statedLength, ROWS);
    }

    private static String chunkedPage(int statedLength) {
        return "HTTP/1.1 200 -\r\nResult-Pages: 1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n%s"
                .formatted(statedLength, ROWS.substring(0, statedLength), ROWS.substring(statedLength));
    }

    private void awaitPolls(int count) throws Exception {
        runUntil(() -> callCount("GET /x/") == count || !listener.ends.isEmpty());
        assertEquals(listener.ends, List.of(), "the attempt has ended with a page that is not proven whole");
    }

    private void assertServedWhole(int pages) throws Exception {
        runUntil(() -> !listener.ends.isEmpty());
        AttemptEnd.Completed end = (AttemptEnd.Completed) listener.ends.get(0);
        List<String> received = end.rows().pages().stream()
                .map(bytes -> new String(bytes, StandardCharsets.ISO_8859_1))
                .toList();
        assertEquals(received, java.util.Collections.nCopies(pages, ROWS));
    }

    @DataProvider
    public Object[][] shortenedResults() {
        return new Object[][] {
            {firstPage(1, ROW_BYTES)},
            {firstPage(1, 0)},
            {chunkedPage(ROW_BYTES)},
            {firstPage(1, ROWS.length()) + "noise"}
        };
    }

    /** Guards against a result without its last rows: its stated length ends behind a row. */
    @Test(dataProvider = "shortenedResults")
    public void resultWithBytesBehindItIsPolledAgainOnAnotherConnection(String shortened) throws Exception {
        start(listener);
        runUntil(() -> postCount() == 1);
        respond(0, shortened);
        awaitPolls(1);
        respond(1, firstPage(1, ROWS.length()));
        assertServedWhole(1);
        assertEquals(postCount(), 1);
    }

    /** Guards against taking a row for the head of another response. */
    @Test
    public void resultIsPolledAgainIfItsNextRowResemblesAResponse() throws Exception {
        String rows = "a\tb\tc\nHTTP/1.1 200 x\td\te\nf: g\th\ti\n";
        String whole = "HTTP/1.1 200 -\r\nResult-Pages: 1\r\nContent-Length: " + rows.length() + "\r\n\r\n" + rows;
        start(listener);
        runUntil(() -> postCount() == 1);
        respond(0, whole.replace("Length: " + rows.length(), "Length: " + ROW_BYTES));
        awaitPolls(1);
        respond(1, whole);
        runUntil(() -> !listener.ends.isEmpty());
        AttemptEnd.Completed end = (AttemptEnd.Completed) listener.ends.get(0);
        assertEquals(new String(end.rows().pages().get(0), StandardCharsets.ISO_8859_1), rows);
    }

    /** Guards against a poll for each second copy: the head of another response proves the length of the first. */
    @Test
    public void resultWithACopyBehindItIsServedAtOnce() throws Exception {
        start(listener);
        runUntil(() -> postCount() == 1);
        respond(0, firstPage(1, ROWS.length()) + firstPage(1, ROWS.length()));
        assertServedWhole(1);
        assertEquals(callCount("GET /x/"), 0);
    }

    /** Guards against the same in a further page. */
    @Test
    public void furtherPageWithBytesBehindItIsPolledAgain() throws Exception {
        start(listener);
        runUntil(() -> postCount() == 1);
        respond(0, firstPage(2, ROWS.length()));
        awaitPolls(1);
        respond(0, page(1, ROW_BYTES));
        awaitPolls(2);
        respond(1, page(1, ROWS.length()));
        assertServedWhole(2);
    }

    /** Guards against a page that was cut short and whose rest arrives in place of the next page. */
    @Test
    public void pageWhoseRestArrivesAfterTheNextPollIsPolledAgain() throws Exception {
        String shortened = firstPage(2, ROW_BYTES);
        int rest = shortened.length() - ROW_BYTES;
        start(listener);
        runUntil(() -> postCount() == 1);
        respond(0, shortened.substring(0, rest));
        awaitPolls(1);
        respond(0, shortened.substring(rest) + page(1, ROWS.length()));
        awaitPolls(2);
        respond(1, firstPage(2, ROWS.length()));
        awaitPolls(3);
        respond(1, page(1, ROWS.length()));
        assertServedWhole(2);
    }

    /** Guards the proof that a query never ran: a second copy behind a decline does not weaken it. */
    @Test
    public void declineWithACopyBehindItStaysADecline() throws Exception {
        start(listener);
        runUntil(() -> postCount() == 1);
        respond(0, DECLINED + DECLINED);
        runUntil(() -> !listener.ends.isEmpty());
        assertEquals(listener.ends.get(0).getClass(), AttemptEnd.Rejected.class);
    }
}
