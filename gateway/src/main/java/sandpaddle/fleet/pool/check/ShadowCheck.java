package sandpaddle.fleet.pool.check;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import sandpaddle.fleet.pool.model.DiagnosticList;
import sandpaddle.fleet.pool.model.Statement;
import sandpaddle.fleet.pool.model.Statement.Borrow;
import sandpaddle.fleet.pool.model.Statement.Budget;
import sandpaddle.fleet.pool.model.Statement.Reserve;
import sandpaddle.fleet.pool.model.Statement.Share;

/**
 * Reports shadowed statements and settings, which never take effect because another one takes precedence whenever they
 * apply. Only statements of the same subject are compared, at most {@value #MAX_STATEMENTS_PER_SUBJECT} of each.
 */
final class ShadowCheck {
    static final int MAX_STATEMENTS_PER_SUBJECT = 200;

    private final DiagnosticList diagnostics;

    ShadowCheck(DiagnosticList diagnostics) {
        this.diagnostics = diagnostics;
    }

    void check(List<Statement> statements, Expansion expansion) {
        Map<Object, List<Statement>> bySubject = new LinkedHashMap<>();
        for (Statement statement : statements) {
            if (!(statement instanceof Share)) {
                bySubject
                        .computeIfAbsent(subject(statement), share -> new ArrayList<>())
                        .add(statement);
            }
        }
        bySubject.values().forEach(this::checkSameSubject);
        checkSetting("weight", expansion, share -> share.weight().isPresent());
        checkSetting("floor", expansion, share -> share.floor().isPresent());
        checkSetting("ceiling", expansion, share -> share.ceiling().isPresent());
    }

    private static Object subject(Statement statement) {
        if (statement instanceof Budget budget) {
            return List.of(budget.scope(), budget.name());
        }
        return statement instanceof Reserve reserve ? reserve.purpose() : Borrow.class;
    }

    private void checkSameSubject(List<Statement> statements) {
        if (exceedsLimit(statements, "of one subject")) {
            return;
        }
        for (Statement statement : statements) {
            Statement shadowing = findShadowing(statement, statements, Statement.BY_CONDITIONS::compare);
            if (shadowing != null) {
                diagnostics.error(
                        statement.position(),
                        "a statement that line " + shadowing.position().line() + " always replaces",
                        "one statement for a subject and its conditions");
            }
        }
    }

    private interface Order<T> {
        int compare(T first, T second);
    }

    private static <T extends Statement> T findShadowing(T statement, List<T> others, Order<T> order) {
        for (T other : others) {
            if (other != statement
                    && order.compare(other, statement) > 0
                    && ConditionsCheck.implies(statement.conditions(), other.conditions())) {
                return other;
            }
        }
        return null;
    }

    /** Reports a setting if it is shadowed for each selector that its statement expands to. */
    private void checkSetting(String setting, Expansion expansion, Predicate<Share> hasSetting) {
        Map<Object, List<Share>> settingsBySelector = new LinkedHashMap<>();
        expansion.sharesBySelector().forEach((selector, shares) -> {
            List<Share> settingShares = shares.stream().filter(hasSetting).toList();
            if (!exceedsLimit(settingShares, "with a " + setting + " for one selection")) {
                settingsBySelector.put(selector, settingShares);
            }
        });
        Map<Share, Share> shadows = new LinkedHashMap<>();
        ToIntFunction<Share> line = share -> share.position().line();
        settingsBySelector
                .values()
                .forEach(settingShares -> settingShares.forEach(share -> {
                    if (!shadows.containsKey(share) || shadows.get(share) != null) {
                        shadows.put(share, findShadowing(share, settingShares, Statement.PRECEDENCE::compare));
                    }
                }));
        shadows.forEach((share, shadowing) -> {
            if (shadowing != null) {
                diagnostics.error(
                        share.position(),
                        "a " + setting + " that line " + line.applyAsInt(shadowing) + " always replaces",
                        "one " + setting + " for a selection and its conditions");
            }
        });
    }

    private boolean exceedsLimit(List<? extends Statement> statements, String description) {
        if (statements.size() > MAX_STATEMENTS_PER_SUBJECT) {
            diagnostics.error(
                    statements.get(MAX_STATEMENTS_PER_SUBJECT).position(),
                    "more than " + MAX_STATEMENTS_PER_SUBJECT + " statements " + description,
                    MAX_STATEMENTS_PER_SUBJECT + " at most");
            return true;
        }
        return false;
    }
}
