package sandpaddle.fleet.state.raft;

import io.microraft.RaftConfig;

/**
 * Timeouts and sizes of Raft.
 *
 * @param heartbeatS interval of a leader's heartbeats (s)
 * @param leaderTimeoutS silence after which a leader is replaced (s); above {@code heartbeatS}
 * @param electionTimeoutMs max duration of an election (ms)
 * @param snapshotEveryEntries number of entries after which a snapshot is taken
 */
public record RaftSettings(int heartbeatS, int leaderTimeoutS, int electionTimeoutMs, int snapshotEveryEntries) {
    /** A failed leader is replaced within 3 to 6 s; MicroRaft counts heartbeats in whole seconds. */
    public static final RaftSettings DEFAULTS = new RaftSettings(1, 3, 1000, 1000);

    /** Checks the ranges. */
    public RaftSettings {
        if (heartbeatS < 1 || leaderTimeoutS <= heartbeatS || electionTimeoutMs < 1 || snapshotEveryEntries < 10) {
            throw new IllegalArgumentException("settings of Raft: heartbeat " + heartbeatS + " s, leader timeout "
                    + leaderTimeoutS + " s, election timeout " + electionTimeoutMs + " ms, snapshot every "
                    + snapshotEveryEntries + " entries");
        }
    }

    RaftConfig toRaftConfig() {
        return RaftConfig.newBuilder()
                .setLeaderHeartbeatPeriodSecs(heartbeatS)
                .setLeaderHeartbeatTimeoutSecs(leaderTimeoutS)
                .setLeaderElectionTimeoutMillis(electionTimeoutMs)
                .setCommitCountToTakeSnapshot(snapshotEveryEntries)
                .setAppendEntriesRequestBatchSize(64)
                .setMaxPendingLogEntryCount(512)
                .setTransferSnapshotsFromFollowersEnabled(false)
                .setRaftNodeReportPublishPeriodSecs(3600)
                .build();
    }
}
