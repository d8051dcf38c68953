package sandpaddle.fleet.node.pool;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.tinylog.Logger;
import sandpaddle.fleet.node.agree.FleetConfig;
import sandpaddle.fleet.pool.ActivePolicy;
import sandpaddle.fleet.pool.ActivePolicy.Status;
import sandpaddle.fleet.pool.PolicyVersion;
import sandpaddle.fleet.pool.PoolPolicyCheck;
import sandpaddle.fleet.pool.model.KnownNames;
import sandpaddle.fleet.pool.model.Policy;

/**
 * The pool policy in force. One that cannot be read here is logged once, and the one before stays active, restricted to
 * floors.
 */
public final class ActivePoolPolicy {
    private ActivePolicy activePolicy = new ActivePolicy();
    private String text = "";
    private long version;

    /** What rules now; whether another policy does. */
    public boolean agreed(FleetConfig agreed) {
        if (agreed.version() <= version) {
            return false;
        }
        version = agreed.version();
        if (agreed.poolPolicy().equals(text)) {
            return false;
        }
        text = agreed.poolPolicy();
        if (text.isEmpty()) {
            activePolicy = new ActivePolicy();
            Logger.info("fleet: version {} has no pool policy", version);
            return true;
        }
        PoolPolicyCheck check = PoolPolicyCheck.check(text.getBytes(StandardCharsets.UTF_8), KnownNames.NONE);
        activePolicy.add(check);
        activePolicy.commit(new PolicyVersion(version, check.hash()));
        if (activePolicy.status() == Status.APPLIED) {
            Policy p = activePolicy.policy().orElseThrow();
            Logger.info("fleet: pool policy \"{}\" {} rules with version {}", p.name(), p.version(), version);
            UnsupportedStatements.notes(p).forEach(note -> Logger.warn("fleet: pool policy, {}", note));
        } else {
            Logger.error(
                    "fleet: the pool policy of version {} cannot be read here, {}; floors hold: {}",
                    version,
                    activePolicy
                            .applied()
                            .map(v -> "that of version " + v.epoch() + " goes on")
                            .orElse("there is none before"),
                    check.errors().stream().findFirst().map(Object::toString).orElse(""));
        }
        return true;
    }

    /** Whether no more than floors may be used here, since the fleet divides by what this gateway cannot read. */
    public boolean isBehind() {
        return activePolicy.status() == Status.UNREADABLE || activePolicy.status() == Status.MISSING;
    }

    /** The policy to go by; empty: none. */
    public Optional<Policy> policy() {
        return activePolicy.policy();
    }
}
