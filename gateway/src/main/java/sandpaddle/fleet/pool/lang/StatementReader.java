package sandpaddle.fleet.pool.lang;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.tree.TerminalNode;
import sandpaddle.fleet.pool.lang.ParsedPolicy.NameReference;
import sandpaddle.fleet.pool.lang.ParsedPolicy.Subject;
import sandpaddle.fleet.pool.lang.PoolPolicyParser.BorrowContext;
import sandpaddle.fleet.pool.lang.PoolPolicyParser.BudgetContext;
import sandpaddle.fleet.pool.lang.PoolPolicyParser.ConditionContext;
import sandpaddle.fleet.pool.lang.PoolPolicyParser.DirectiveContext;
import sandpaddle.fleet.pool.lang.PoolPolicyParser.GroupContext;
import sandpaddle.fleet.pool.lang.PoolPolicyParser.MemberContext;
import sandpaddle.fleet.pool.lang.PoolPolicyParser.PolicyContext;
import sandpaddle.fleet.pool.lang.PoolPolicyParser.ReserveContext;
import sandpaddle.fleet.pool.lang.PoolPolicyParser.SettingContext;
import sandpaddle.fleet.pool.lang.PoolPolicyParser.ShareContext;
import sandpaddle.fleet.pool.lang.PoolPolicyParser.StatementContext;
import sandpaddle.fleet.pool.model.Condition;
import sandpaddle.fleet.pool.model.DiagnosticList;
import sandpaddle.fleet.pool.model.Phase;
import sandpaddle.fleet.pool.model.Policy;
import sandpaddle.fleet.pool.model.PolicyLimits;
import sandpaddle.fleet.pool.model.SourcePosition;
import sandpaddle.fleet.pool.model.Statement;

/** Converts the parse tree of one statement, adds it to the parsed policy, and reports values that are out of range. */
final class StatementReader {
    private final ParsedPolicy parsed;
    private final DiagnosticList diagnostics;
    private final Literals literals;
    private final SelectorReader selectors;

    StatementReader(ParsedPolicy parsed, DiagnosticList diagnostics) {
        this.parsed = parsed;
        this.diagnostics = diagnostics;
        this.literals = new Literals(diagnostics);
        this.selectors = new SelectorReader(parsed, diagnostics, literals);
    }

    void read(StatementContext context) {
        SourcePosition position = LineErrorStrategy.positionOf(context.getStart());
        if (context.policy() != null) {
            readHeader(position, context.policy());
        } else if (context.group() != null) {
            readGroup(position, context.group());
        } else {
            readDirective(position, conditions(context.condition()), context.directive());
        }
    }

    private void readHeader(SourcePosition position, PolicyContext context) {
        int version = literals.integer(context.INT(0), 1, 1_000_000_000, "version");
        if (context.LANGUAGE() != null) {
            literals.integer(context.INT(1), Policy.LANGUAGE, Policy.LANGUAGE, "language");
        }
        parsed.headers.add(new ParsedPolicy.Header(position, literals.name(context.STRING()), version));
    }

    private void readGroup(SourcePosition position, GroupContext context) {
        List<ParsedPolicy.Member> members = new ArrayList<>();
        for (MemberContext member : context.member()) {
            SourcePosition memberPosition = LineErrorStrategy.positionOf(member.getStart());
            boolean isGroup = member.GROUP() != null;
            members.add(new ParsedPolicy.Member(
                    memberPosition, isGroup, isGroup ? member.groupName().getText() : literals.name(member.STRING())));
        }
        parsed.groups.add(
                new ParsedPolicy.GroupDefinition(position, context.groupName().getText(), members));
    }

    private void readDirective(SourcePosition position, List<Condition> conditions, DirectiveContext context) {
        if (context.budget() != null) {
            parsed.statements.add(readBudget(position, conditions, context.budget()));
        } else if (context.reserve() != null) {
            parsed.statements.add(readReserve(position, conditions, context.reserve()));
        } else if (context.borrow() != null) {
            parsed.statements.add(readBorrow(position, conditions, context.borrow()));
        } else {
            parsed.statements.add(readShare(position, conditions, context.share()));
        }
    }

    private Statement.Budget readBudget(SourcePosition position, List<Condition> conditions, BudgetContext context) {
        int connections = literals.integer(context.INT(), 1, PolicyLimits.MAX_CONNECTIONS, "a budget of");
        Statement.Scope scope = Statement.Scope.FLEET;
        String name = "";
        if (context.budgetOf().FLEET() == null) {
            boolean kind = context.budgetOf().KIND() != null;
            scope = kind ? Statement.Scope.KIND : Statement.Scope.ENGINE;
            name = readReference(
                    kind ? Subject.KIND : Subject.ENGINE, context.budgetOf().STRING());
        }
        if (context.EACH() != null) {
            if (scope != Statement.Scope.KIND) {
                diagnostics.error(
                        LineErrorStrategy.positionOf(context.EACH().getSymbol()),
                        "'each' of a budget for " + (scope == Statement.Scope.FLEET ? "the fleet" : "one engine"),
                        "'each' for an engine kind");
            }
            scope = Statement.Scope.EACH_OF_KIND;
        }
        return new Statement.Budget(position, conditions, scope, name, connections);
    }

    private Statement.Reserve readReserve(SourcePosition position, List<Condition> conditions, ReserveContext context) {
        boolean percent = context.PERCENT() != null;
        int amount = percent
                ? literals.integer(context.INT(), 0, 99, "a reserve in percent of")
                : literals.integer(context.INT(), 0, PolicyLimits.MAX_CONNECTIONS, "a reserve of");
        return new Statement.Reserve(
                position,
                conditions,
                context.CONTROL() != null ? Statement.ReservePurpose.CONTROL : Statement.ReservePurpose.RETURNING,
                percent,
                amount);
    }

    private Statement.Borrow readBorrow(SourcePosition position, List<Condition> conditions, BorrowContext context) {
        if (context.IDLE() == null) {
            return new Statement.Borrow(position, conditions, false, Duration.ZERO);
        }
        return new Statement.Borrow(
                position,
                conditions,
                true,
                literals.duration(context.duration(), Duration.ofMillis(100), Duration.ofHours(1), "a time of"));
    }

    private Statement.Share readShare(SourcePosition position, List<Condition> conditions, ShareContext context) {
        OptionalInt weight = OptionalInt.empty();
        OptionalInt floor = OptionalInt.empty();
        OptionalInt ceiling = OptionalInt.empty();
        for (SettingContext setting : context.setting()) {
            Token word = setting.getStart();
            boolean duplicate;
            if (word.getType() == PoolPolicyParser.WEIGHT) {
                duplicate = weight.isPresent();
                weight = OptionalInt.of(literals.weight(setting.getStop()));
            } else if (word.getType() == PoolPolicyParser.FLOOR) {
                duplicate = floor.isPresent();
                floor = OptionalInt.of(literals.integer(setting.INT(), 0, PolicyLimits.MAX_CONNECTIONS, "floor"));
            } else {
                duplicate = ceiling.isPresent();
                ceiling = OptionalInt.of(literals.integer(setting.INT(), 0, PolicyLimits.MAX_CONNECTIONS, "ceiling"));
            }
            if (duplicate) {
                diagnostics.error(
                        LineErrorStrategy.positionOf(word), "'" + word.getText() + "' twice in a statement", "once");
            }
        }
        return new Statement.Share(
                position, conditions, selectors.read(context.selector(), weight.isPresent()), weight, floor, ceiling);
    }

    private String readReference(Subject subject, TerminalNode node) {
        String name = literals.name(node);
        parsed.references.add(new NameReference(LineErrorStrategy.positionOf(node.getSymbol()), subject, name));
        return name;
    }

    private List<Condition> conditions(List<ConditionContext> context) {
        List<Condition> conditions = new ArrayList<>();
        for (ConditionContext conditionContext : context) {
            if (conditions.size() == PolicyLimits.MAX_CONDITIONS) {
                diagnostics.error(
                        LineErrorStrategy.positionOf(conditionContext.getStart()),
                        "more than " + PolicyLimits.MAX_CONDITIONS + " conditions",
                        PolicyLimits.MAX_CONDITIONS + " at most");
                break;
            }
            Condition condition = condition(conditionContext);
            if (conditions.contains(condition)) {
                diagnostics.error(
                        LineErrorStrategy.positionOf(conditionContext.getStart()),
                        "a condition twice in a statement",
                        "once");
            } else {
                conditions.add(condition);
            }
        }
        return List.copyOf(conditions);
    }

    private Condition condition(ConditionContext context) {
        return switch (context.getStart().getType()) {
            case PoolPolicyParser.CALM -> new Condition.InPhase(Phase.CALM);
            case PoolPolicyParser.STORM -> new Condition.InPhase(Phase.STORM);
            case PoolPolicyParser.RECOVERY -> new Condition.InPhase(Phase.RECOVERY);
            case PoolPolicyParser.TIME ->
                new Condition.TimeOfDay(
                        literals.minute(context.TIME_OF_DAY(0), 0),
                        literals.minute(context.TIME_OF_DAY(1), 24 * 60),
                        context.ZONE() == null ? Optional.empty() : literals.timeZone(context.STRING()));
            case PoolPolicyParser.CONDEMNED ->
                new Condition.EjectedOver(literals.integer(context.INT(), 0, 99, "a share in percent of"));
            case PoolPolicyParser.ISOLATED -> new Condition.Isolated(readReference(Subject.ZONE, context.STRING()));
            default -> outage(context);
        };
    }

    private Condition outage(ConditionContext context) {
        String zone = readReference(Subject.ZONE, context.STRING());
        return context.LASTS() != null
                ? new Condition.OutageLasts(zone)
                : new Condition.OutageWithin(
                        zone,
                        literals.duration(context.duration(), Duration.ofMinutes(1), Duration.ofDays(7), "a time of"));
    }
}
