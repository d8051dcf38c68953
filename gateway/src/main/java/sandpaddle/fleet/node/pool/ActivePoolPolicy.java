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
 * The pool policy in force. If this version of the program cannot read it, that is logged once and the previous policy
 * stays active, restricted to floors. Owned by the fleet's thread.
 */
public final class ActivePoolPolicy {
    private ActivePolicy activePolicy = new ActivePolicy();
    private String text = "";
    private long version;

    /**
     * Applies the configuration in force, unless its version is not newer than the one applied last.
     *
     * @param config the configuration
     * @return whether its pool policy is another one than before
     */
    public boolean applyConfig(FleetConfig config) {
        if (config.version() <= version) {
            return false;
        }
        version = config.version();
        if (config.poolPolicy().equals(text)) {
            return false;
        }
        text = config.poolPolicy();
        if (text.isEmpty()) {
            activePolicy = new ActivePolicy();
            Logger.info("fleet: configuration version {} has no pool policy", version);
            return true;
        }
        PoolPolicyCheck check = PoolPolicyCheck.check(text.getBytes(StandardCharsets.UTF_8), KnownNames.NONE);
        activePolicy.add(check);
        activePolicy.commit(new PolicyVersion(version, check.hash()));
        if (activePolicy.status() == Status.APPLIED) {
            Policy policy = activePolicy.policy().orElseThrow();
            Logger.info(
                    "fleet: pool policy \"{}\" version {} is in force with configuration version {}",
                    policy.name(),
                    policy.version(),
                    version);
            UnsupportedStatements.warnings(policy).forEach(warning -> Logger.warn("fleet: pool policy, {}", warning));
        } else {
            Logger.error(
                    "fleet: pool policy of configuration version {} cannot be read, {}; restricted to floors: {}",
                    version,
                    activePolicy
                            .applied()
                            .map(applied -> "that of version " + applied.epoch() + " stays active")
                            .orElse("no earlier policy is known"),
                    check.errors().stream().findFirst().map(Object::toString).orElse(""));
        }
        return true;
    }

    /**
     * Whether this gateway may use floors only, since it cannot read the policy by which the fleet divides budgets.
     */
    public boolean isRestrictedToFloors() {
        return activePolicy.status() == Status.UNREADABLE || activePolicy.status() == Status.MISSING;
    }

    /** The policy to apply, empty if there is none. */
    public Optional<Policy> policy() {
        return activePolicy.policy();
    }
}
