package sandpaddle.fleet.pool;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import sandpaddle.fleet.pool.model.Policy;

/**
 * The policy in force at one gateway, normally the version that the fleet committed. A gateway that lacks the text of
 * that version, or cannot parse it, continues with the last committed version that it could parse and reports this in
 * {@link #status}. It must then hold no more than the lesser of the floors of both versions, since the fleet computes
 * targets without it. The {@value #MAX_RETAINED_TEXTS} texts added last are retained.
 */
public final class ActivePolicy {
    private static final int MAX_RETAINED_TEXTS = 4;

    /** The status of the committed version at this gateway. */
    public enum Status {
        /** The fleet has committed no version, so no pool is limited. */
        NONE,
        /** The committed version is in force. */
        APPLIED,
        /** The text of the committed version has not been received. */
        MISSING,
        /** The text has errors for this gateway, for example because its software is older. */
        UNREADABLE
    }

    private final Map<PolicyHash, PoolPolicyCheck> checkedByHash = new LinkedHashMap<>();
    private Optional<PolicyVersion> committed = Optional.empty();
    private Optional<PolicyVersion> applied = Optional.empty();
    private Optional<Policy> policy = Optional.empty();

    /**
     * Adds a checked text, from the operator's file or from another gateway. Past {@value #MAX_RETAINED_TEXTS} texts,
     * the oldest that is not the committed one is evicted.
     */
    public void add(PoolPolicyCheck checked) {
        checkedByHash.remove(checked.hash());
        checkedByHash.put(checked.hash(), checked);
        if (checkedByHash.size() > MAX_RETAINED_TEXTS) {
            PolicyHash oldest = checkedByHash.keySet().stream()
                    .filter(hash ->
                            committed.isEmpty() || !committed.get().hash().equals(hash))
                    .findFirst()
                    .orElseThrow();
            checkedByHash.remove(oldest);
        }
        applyCommitted();
    }

    /** Sets the version that the fleet committed; one whose epoch is not newer is ignored. */
    public void commit(PolicyVersion version) {
        if (committed.isEmpty() || version.epoch() > committed.get().epoch()) {
            committed = Optional.of(version);
            applyCommitted();
        }
    }

    private void applyCommitted() {
        committed
                .map(version -> checkedByHash.get(version.hash()))
                .flatMap(PoolPolicyCheck::policy)
                .ifPresent(committedPolicy -> {
                    policy = Optional.of(committedPolicy);
                    applied = committed;
                });
    }

    /** The status of the committed version at this gateway. */
    public Status status() {
        if (committed.isEmpty()) {
            return Status.NONE;
        }
        if (applied.equals(committed)) {
            return Status.APPLIED;
        }
        return checkedByHash.containsKey(committed.get().hash()) ? Status.UNREADABLE : Status.MISSING;
    }

    /** The version that the fleet committed last. */
    public Optional<PolicyVersion> committed() {
        return committed;
    }

    /** The version of {@link #policy}; older than {@link #committed} unless the status is {@code APPLIED}. */
    public Optional<PolicyVersion> applied() {
        return applied;
    }

    /** The last committed policy that this gateway could parse. */
    public Optional<Policy> policy() {
        return policy;
    }
}
