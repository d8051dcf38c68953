package sandpaddle.fleet.link.tcp;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class LinkLogTest {
    /** Guards against a log filled by whoever reaches the port. */
    @Test
    void refusalsAreWrittenSoManyAMinute() {
        LinkLog log = new LinkLog();
        int written = 0;
        for (int i = 0; i < 1000; i++) {
            written += log.mayWrite(i * 60_000L) ? 1 : 0;
        }
        assertEquals(LinkLog.MAX_REFUSALS, written);
        assertEquals(true, log.mayWrite(60_000_000));
    }
}
