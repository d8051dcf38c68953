package sandpaddle.fleet.link.tcp;

import sandpaddle.fleet.link.Links.LossReason;
import sandpaddle.fleet.link.frame.RejectionCode;
import sandpaddle.fleet.member.Member;
import sandpaddle.log.LogEvent;

/**
 * Log lines about links. Lines about rejections are rate-limited, since anybody who can reach the port can cause
 * them. Guarded by the lock of the links.
 */
final class LinkLogger {
    static final int MAX_REJECTIONS_PER_MINUTE = 20;
    private static final long MINUTE_US = 60_000_000;

    private long minute = -1;
    private int written, suppressed;

    void linkUp(Member peer, long incarnation) {
        LogEvent.of("link up")
                .with("peer", peer.name())
                .with("hall", peer.zone())
                .with("incarnation", incarnation)
                .info();
    }

    void linkDown(String peer, LossReason reason, String detail) {
        LogEvent line = LogEvent.of("link down")
                .with("peer", peer)
                .with("how", reason.logName())
                .with("why", detail);
        if (reason == LossReason.NOT_NEEDED) {
            line.info();
        } else {
            line.warn();
        }
    }

    void connectionRejected(long nowUs, String address, String claimedName, RejectionCode code, String detail) {
        if (tryAcquireLine(nowUs)) {
            LogEvent.of("link refused")
                    .with("from", address)
                    .with("name", claimedName)
                    .with("code", code.name())
                    .with("why", detail)
                    .warn();
        }
    }

    void internalError(long nowUs, RuntimeException error) {
        if (tryAcquireLine(nowUs)) {
            LogEvent.of("internal error in the link code")
                    .with("fault", String.valueOf(error))
                    .with("at", error.getStackTrace().length > 0 ? String.valueOf(error.getStackTrace()[0]) : "unknown")
                    .warn();
        }
    }

    /** Whether a rate-limited line may be written now; reports the suppressed lines of an earlier minute. */
    boolean tryAcquireLine(long nowUs) {
        if (nowUs / MINUTE_US != minute) {
            if (suppressed > 0) {
                LogEvent.of("rejected connections not logged")
                        .with("count", suppressed)
                        .warn();
            }
            minute = nowUs / MINUTE_US;
            written = 0;
            suppressed = 0;
        }
        boolean allowed = written < MAX_REJECTIONS_PER_MINUTE;
        written += allowed ? 1 : 0;
        suppressed += allowed ? 0 : 1;
        return allowed;
    }
}
