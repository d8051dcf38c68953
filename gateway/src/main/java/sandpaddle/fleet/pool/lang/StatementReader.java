package sandpaddle.fleet.pool.lang;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.tree.TerminalNode;
import sandpaddle.fleet.pool.lang.PolicyDraft.Mention;
import sandpaddle.fleet.pool.lang.PolicyDraft.Subject;
import sandpaddle.fleet.pool.lang.PoolPolicyParser.BorrowContext;
import sandpaddle.fleet.pool.lang.PoolPolicyParser.BudgetContext;
import sandpaddle.fleet.pool.lang.PoolPolicyParser.ConditionContext;
import sandpaddle.fleet.pool.lang.PoolPolicyParser.GroupContext;
import sandpaddle.fleet.pool.lang.PoolPolicyParser.MemberContext;
import sandpaddle.fleet.pool.lang.PoolPolicyParser.PolicyContext;
import sandpaddle.fleet.pool.lang.PoolPolicyParser.ReserveContext;
import sandpaddle.fleet.pool.lang.PoolPolicyParser.RulingContext;
import sandpaddle.fleet.pool.lang.PoolPolicyParser.SettingContext;
import sandpaddle.fleet.pool.lang.PoolPolicyParser.ShareContext;
import sandpaddle.fleet.pool.lang.PoolPolicyParser.StatementContext;
import sandpaddle.fleet.pool.model.Condition;
import sandpaddle.fleet.pool.model.FaultList;
import sandpaddle.fleet.pool.model.Limits;
import sandpaddle.fleet.pool.model.Phase;
import sandpaddle.fleet.pool.model.Policy;
import sandpaddle.fleet.pool.model.SourcePosition;
import sandpaddle.fleet.pool.model.Statement;

/** Turns one parsed statement into its part of the draft, and tells its faults of range. */
final class StatementReader {
    private final PolicyDraft draft;
    private final FaultList faults;
    private final Literals literals;
    private final SelectorReader selectors;

    StatementReader(PolicyDraft draft, FaultList faults) {
        this.draft = draft;
        this.faults = faults;
        this.literals = new Literals(faults);
        this.selectors = new SelectorReader(draft, faults, literals);
    }

    void read(StatementContext from) {
        SourcePosition at = LineErrors.spot(from.getStart());
        if (from.policy() != null) {
            header(at, from.policy());
        } else if (from.group() != null) {
            group(at, from.group());
        } else {
            rule(at, conditions(from.condition()), from.ruling());
        }
    }

    private void header(SourcePosition at, PolicyContext from) {
        int version = literals.whole(from.INT(0), 1, 1_000_000_000, "version");
        if (from.LANGUAGE() != null) {
            literals.whole(from.INT(1), Policy.LANGUAGE, Policy.LANGUAGE, "language");
        }
        draft.headers.add(new PolicyDraft.Header(at, literals.name(from.STRING()), version));
    }

    private void group(SourcePosition at, GroupContext from) {
        List<PolicyDraft.Member> members = new ArrayList<>();
        for (MemberContext member : from.member()) {
            SourcePosition spot = LineErrors.spot(member.getStart());
            boolean group = member.GROUP() != null;
            members.add(new PolicyDraft.Member(
                    spot, group, group ? member.groupName().getText() : literals.name(member.STRING())));
        }
        draft.groups.add(new PolicyDraft.GroupDraft(at, from.groupName().getText(), members));
    }

    private void rule(SourcePosition at, List<Condition> when, RulingContext from) {
        if (from.budget() != null) {
            draft.rules.add(budget(at, when, from.budget()));
        } else if (from.reserve() != null) {
            draft.rules.add(reserve(at, when, from.reserve()));
        } else if (from.borrow() != null) {
            draft.rules.add(borrow(at, when, from.borrow()));
        } else {
            draft.rules.add(share(at, when, from.share()));
        }
    }

    private Statement.Budget budget(SourcePosition at, List<Condition> when, BudgetContext from) {
        int connections = literals.whole(from.INT(), 1, Limits.MAX_CONNECTIONS, "a budget of");
        Statement.Scope scope = Statement.Scope.FLEET;
        String name = "";
        if (from.budgetOf().FLEET() == null) {
            boolean kind = from.budgetOf().KIND() != null;
            scope = kind ? Statement.Scope.KIND : Statement.Scope.ENGINE;
            name = mention(kind ? Subject.KIND : Subject.ENGINE, from.budgetOf().STRING());
        }
        if (from.EACH() != null) {
            if (scope != Statement.Scope.KIND) {
                faults.error(
                        LineErrors.spot(from.EACH().getSymbol()),
                        "'each' of a budget for " + (scope == Statement.Scope.FLEET ? "the fleet" : "one engine"),
                        "'each' for an engine kind");
            }
            scope = Statement.Scope.EACH_OF_KIND;
        }
        return new Statement.Budget(at, when, scope, name, connections);
    }

    private Statement.Reserve reserve(SourcePosition at, List<Condition> when, ReserveContext from) {
        boolean percent = from.PERCENT() != null;
        int amount = percent
                ? literals.whole(from.INT(), 0, 99, "a reserve in percent of")
                : literals.whole(from.INT(), 0, Limits.MAX_CONNECTIONS, "a reserve of");
        return new Statement.Reserve(
                at, when, from.CONTROL() != null ? Statement.Use.CONTROL : Statement.Use.RETURNING, percent, amount);
    }

    private Statement.Borrow borrow(SourcePosition at, List<Condition> when, BorrowContext from) {
        if (from.IDLE() == null) {
            return new Statement.Borrow(at, when, false, Duration.ZERO);
        }
        return new Statement.Borrow(
                at,
                when,
                true,
                literals.duration(from.duration(), Duration.ofMillis(100), Duration.ofHours(1), "a time of"));
    }

    private Statement.Share share(SourcePosition at, List<Condition> when, ShareContext from) {
        OptionalInt weight = OptionalInt.empty();
        OptionalInt floor = OptionalInt.empty();
        OptionalInt ceiling = OptionalInt.empty();
        for (SettingContext setting : from.setting()) {
            Token word = setting.getStart();
            boolean twice;
            if (word.getType() == PoolPolicyParser.WEIGHT) {
                twice = weight.isPresent();
                weight = OptionalInt.of(literals.weight(setting.getStop()));
            } else if (word.getType() == PoolPolicyParser.FLOOR) {
                twice = floor.isPresent();
                floor = OptionalInt.of(literals.whole(setting.INT(), 0, Limits.MAX_CONNECTIONS, "floor"));
            } else {
                twice = ceiling.isPresent();
                ceiling = OptionalInt.of(literals.whole(setting.INT(), 0, Limits.MAX_CONNECTIONS, "ceiling"));
            }
            if (twice) {
                faults.error(LineErrors.spot(word), "'" + word.getText() + "' twice in a statement", "once");
            }
        }
        return new Statement.Share(
                at, when, selectors.read(from.selector(), weight.isPresent()), weight, floor, ceiling);
    }

    private String mention(Subject subject, TerminalNode node) {
        String name = literals.name(node);
        draft.mentions.add(new Mention(LineErrors.spot(node.getSymbol()), subject, name));
        return name;
    }

    private List<Condition> conditions(List<ConditionContext> from) {
        List<Condition> conditions = new ArrayList<>();
        for (ConditionContext each : from) {
            if (conditions.size() == Limits.MAX_CONDITIONS) {
                faults.error(
                        LineErrors.spot(each.getStart()),
                        "more than " + Limits.MAX_CONDITIONS + " conditions",
                        Limits.MAX_CONDITIONS + " at most");
                break;
            }
            Condition condition = condition(each);
            if (conditions.contains(condition)) {
                faults.error(LineErrors.spot(each.getStart()), "a condition twice in a statement", "once");
            } else {
                conditions.add(condition);
            }
        }
        return List.copyOf(conditions);
    }

    private Condition condition(ConditionContext from) {
        return switch (from.getStart().getType()) {
            case PoolPolicyParser.CALM -> new Condition.InPhase(Phase.CALM);
            case PoolPolicyParser.STORM -> new Condition.InPhase(Phase.STORM);
            case PoolPolicyParser.RECOVERY -> new Condition.InPhase(Phase.RECOVERY);
            case PoolPolicyParser.TIME ->
                new Condition.TimeOfDay(
                        literals.minute(from.TIME_OF_DAY(0), 0),
                        literals.minute(from.TIME_OF_DAY(1), 24 * 60),
                        from.ZONE() == null ? Optional.empty() : literals.timeZone(from.STRING()));
            case PoolPolicyParser.CONDEMNED ->
                new Condition.Condemned(literals.whole(from.INT(), 0, 99, "a share in percent of"));
            case PoolPolicyParser.ISOLATED -> new Condition.Isolated(mention(Subject.ZONE, from.STRING()));
            default -> outage(from);
        };
    }

    private Condition outage(ConditionContext from) {
        String zone = mention(Subject.ZONE, from.STRING());
        return from.LASTS() != null
                ? new Condition.OutageLasts(zone)
                : new Condition.OutageWithin(
                        zone,
                        literals.duration(from.duration(), Duration.ofMinutes(1), Duration.ofDays(7), "a time of"));
    }
}
