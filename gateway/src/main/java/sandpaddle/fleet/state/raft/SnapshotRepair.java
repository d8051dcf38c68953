package sandpaddle.fleet.state.raft;

import io.microraft.model.log.LogEntry;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.report.RaftLogStats;
import java.util.List;
import java.util.NavigableMap;

/**
 * Works around a fault of MicroRaft 0.7. If a follower no longer has the entry that an append request builds on,
 * because a snapshot covers it, it responds that its log does not match; and the leader, which knows that the entry
 * matched before, neither decrements nor increments the follower's next index. After one lost response such a follower
 * never gets another entry. But the entries that a snapshot covers are committed, so every leader has the same ones:
 * the request may be shortened to the entries after the snapshot, or be answered with success.
 */
final class SnapshotRepair {
    /** What to do with an append request. */
    sealed interface Action {
        /** Deliver it unchanged. */
        record Unchanged() implements Action {}

        /**
         * Deliver a shorter request instead.
         *
         * @param rest the request without the entries that the snapshot covers
         */
        record Shortened(AppendEntriesRequest rest) implements Action {}

        /**
         * Deliver it, and replace a failure response by a success.
         *
         * @param lastIndex index of the last entry, up to which the log matches
         */
        record AlreadyStored(long lastIndex) implements Action {}

        /**
         * Truncate entries of another leader that were not committed, and restart.
         *
         * @param index index of the first entry to remove
         */
        record Conflict(long index) implements Action {}
    }

    private SnapshotRepair() {}

    /**
     * Decides what to do with a request.
     *
     * @param request the received request
     * @param termsByIndex terms of the entries in the log, by index
     * @param logStats last index of the log and of the snapshot
     * @param term the follower's term
     */
    static Action decide(
            AppendEntriesRequest request, NavigableMap<Long, Integer> termsByIndex, RaftLogStats logStats, int term) {
        long before = request.getPreviousLogIndex();
        long last = logStats.getLastLogOrSnapshotIndex();
        long snapshot = logStats.getLastSnapshotIndex();
        if (request.getTerm() != term
                || before == 0
                || before >= last
                || termsByIndex.containsKey(before)
                || before > snapshot) {
            return new Action.Unchanged();
        }
        long end = before + request.getLogEntries().size();
        if (end <= snapshot) {
            return new Action.AlreadyStored(end);
        }
        if (last == snapshot) {
            return shorten(request, snapshot, logStats.getLastSnapshotTerm());
        }
        if (termsByIndex.containsKey(snapshot)) {
            return shorten(request, snapshot, termsByIndex.get(snapshot));
        }
        long first = snapshot + 1;
        LogEntry received = request.getLogEntries().get((int) (first - before - 1));
        return termsByIndex.get(first) != null && termsByIndex.get(first) == received.getTerm()
                ? shorten(request, first, received.getTerm())
                : new Action.Conflict(first);
    }

    private static Action shorten(AppendEntriesRequest request, long previousIndex, int previousTerm) {
        List<LogEntry> rest = request.getLogEntries()
                .subList(
                        (int) (previousIndex - request.getPreviousLogIndex()),
                        request.getLogEntries().size());
        return new Action.Shortened(RaftCodec.MODEL
                .createAppendEntriesRequestBuilder()
                .setGroupId(request.getGroupId())
                .setSender(request.getSender())
                .setTerm(request.getTerm())
                .setPreviousLogTerm(previousTerm)
                .setPreviousLogIndex(previousIndex)
                .setCommitIndex(request.getCommitIndex())
                .setQuerySequenceNumber(request.getQuerySequenceNumber())
                .setFlowControlSequenceNumber(request.getFlowControlSequenceNumber())
                .setLogEntries(rest)
                .build());
    }
}
