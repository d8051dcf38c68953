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

/** The pool policy of what rules. One that cannot be read here is told once, and the one before goes on, by floors. */
public final class ActivePoolPolicy {
    private ActivePolicy seat = new ActivePolicy();
    private String text = "";
    private long version;

    /** What rules now; whether another policy does. */
    public boolean agreed(FleetConfig agreed) {
        if (agreed.version() <= version) {
            return false;
        }
        version = agreed.version();
        if (agreed.pool().equals(text)) {
            return false;
        }
        text = agreed.pool();
        if (text.isEmpty()) {
            seat = new ActivePolicy();
            Logger.info("fleet: version {} has no pool policy", version);
            return true;
        }
        PoolPolicyCheck check = PoolPolicyCheck.check(text.getBytes(StandardCharsets.UTF_8), KnownNames.NONE);
        seat.read(check);
        seat.agreed(new PolicyVersion(version, check.version()));
        if (seat.standing() == Status.APPLIES) {
            Policy p = seat.policy().orElseThrow();
            Logger.info("fleet: pool policy \"{}\" {} rules with version {}", p.name(), p.version(), version);
            UnsupportedStatements.notes(p).forEach(note -> Logger.warn("fleet: pool policy, {}", note));
        } else {
            Logger.error("fleet: the pool policy of version {} cannot be read here, {}; floors hold: {}", version,
                    seat.applied().map(v -> "that of version " + v.epoch() + " goes on").orElse("there is none before"),
                    check.errors().stream().findFirst().map(Object::toString).orElse(""));
        }
        return true;
    }

    /** Whether no more than floors may be used here, since the fleet divides by what this gateway cannot read. */
    public boolean isBehind() {
        return seat.standing() == Status.UNREADABLE || seat.standing() == Status.MISSING;
    }

    /** The policy to go by; empty: none. */
    public Optional<Policy> policy() {
        return seat.policy();
    }
}
