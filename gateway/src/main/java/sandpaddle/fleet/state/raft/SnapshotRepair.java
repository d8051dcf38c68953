package sandpaddle.fleet.state.raft;

import io.microraft.model.log.LogEntry;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.report.RaftLogStats;
import java.util.List;
import java.util.NavigableMap;

/**
 * Works around a fault of MicroRaft 0.7.
 *
 * <p>Cause: an append request names the entry before its own entries (prevLogIndex). If a snapshot of the follower
 * covers that entry, the follower no longer has it, and responds that its log does not match. But for the leader the
 * entry is not above the follower's match index, so it leaves the follower's next index as it is.
 *
 * <p>Effect: after one lost response, the leader repeats the same request, and the follower never gets another entry.
 *
 * <p>Workaround: the entries that a snapshot covers are committed, so every leader has the same ones. The request may
 * therefore be shortened to the entries after the snapshot. If it has none, it may be answered with success.
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
         * @param lastIndex index of the request's last entry; up to it the follower's log matches the leader's
         */
        record AlreadyStored(long lastIndex) implements Action {}

        /**
         * Do not deliver it: remove uncommitted entries of another leader from the store, then create a new {@link
         * RaftIncarnation} from the store.
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
        long previousIndex = request.getPreviousLogIndex();
        long lastIndex = logStats.getLastLogOrSnapshotIndex();
        long snapshotIndex = logStats.getLastSnapshotIndex();
        if (request.getTerm() != term
                || previousIndex == 0
                || previousIndex >= lastIndex
                || termsByIndex.containsKey(previousIndex)
                || previousIndex > snapshotIndex) {
            return new Action.Unchanged();
        }
        long requestEndIndex = previousIndex + request.getLogEntries().size();
        if (requestEndIndex <= snapshotIndex) {
            return new Action.AlreadyStored(requestEndIndex);
        }
        if (lastIndex == snapshotIndex) {
            return shorten(request, snapshotIndex, logStats.getLastSnapshotTerm());
        }
        if (termsByIndex.containsKey(snapshotIndex)) {
            return shorten(request, snapshotIndex, termsByIndex.get(snapshotIndex));
        }
        long firstAfterSnapshot = snapshotIndex + 1;
        LogEntry received = request.getLogEntries().get((int) (firstAfterSnapshot - previousIndex - 1));
        return termsByIndex.get(firstAfterSnapshot) != null
                        && termsByIndex.get(firstAfterSnapshot) == received.getTerm()
                ? shorten(request, firstAfterSnapshot, received.getTerm())
                : new Action.Conflict(firstAfterSnapshot);
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
