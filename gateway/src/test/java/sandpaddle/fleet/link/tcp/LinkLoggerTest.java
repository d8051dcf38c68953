package sandpaddle.fleet.link.tcp;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class LinkLoggerTest {
    /** Guards against a log that anybody who can reach the port may fill. */
    @Test
    void rejectionLinesAreLimitedPerMinute() {
        LinkLogger logger = new LinkLogger();
        int written = 0;
        for (int i = 0; i < 1000; i++) {
            written += logger.tryAcquireLine(i * 60_000L) ? 1 : 0;
        }
        assertEquals(LinkLogger.MAX_REJECTIONS_PER_MINUTE, written);
        assertEquals(true, logger.tryAcquireLine(60_000_000));
    }
}
