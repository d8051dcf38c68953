package sandpaddle.fleet.content.replication;

import java.util.Optional;
import sandpaddle.fleet.content.ContentId;
import sandpaddle.fleet.content.ContentStore;
import sandpaddle.fleet.content.StoredAnswer;

/**
 * A gateway's content store as replication sees it. A received answer is taken as of this process, with the age that it
 * came with; one whose age is unknown, since it is of an earlier process and the wall clock was set back, is not
 * offered. Set the time by {@link #at} before each call to {@link AnswerReplication}.
 */
public final class ContentReplicaStore implements ReplicaStore {
    private final ContentStore store;
    private final long process;
    private final long wallSlackMs;
    private long now;
    private long wall;

    /** {@code wallSlackMs}: added to the age of what an earlier process asked for. */
    public ContentReplicaStore(ContentStore store, long process, long wallSlackMs) {
        this.store = store;
        this.process = process;
        this.wallSlackMs = wallSlackMs;
    }

    /** Monotonic time (us) and the wall clock (ms). */
    public void at(long nowUs, long wallMs) {
        now = nowUs;
        wall = wallMs;
    }

    /** How old (ms) an answer is at most. */
    public long age(StoredAnswer a) {
        return a.meta().age(now, wall, process) + (a.meta().incarnation() == process ? 0 : wallSlackMs);
    }

    @Override
    public long askedAt(ContentId id) {
        return store.askedAt(id);
    }

    @Override
    public Optional<StoredAnswer> find(ContentId id) {
        return store.byId(id).filter(a -> a.meta().incarnation() == process || store.trusts(wall));
    }

    @Override
    public boolean take(StoredAnswer a, long ageMs) {
        return store.put(new StoredAnswer(a.meta().adopted(now, ageMs, process), a.rows()), now, wall);
    }
}
