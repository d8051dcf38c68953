package sandpaddle.fleet.pool.lang;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.antlr.v4.runtime.DefaultErrorStrategy;
import org.antlr.v4.runtime.InputMismatchException;
import org.antlr.v4.runtime.Parser;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.misc.Interval;
import org.antlr.v4.runtime.misc.IntervalSet;
import sandpaddle.fleet.pool.model.DiagnosticList;
import sandpaddle.fleet.pool.model.SourcePosition;

/**
 * ANTLR error strategy that reports at most one syntax error per line: at the first unexpected token, the rest of the
 * line is skipped. Unlike the default strategy, it never inserts or deletes single tokens to recover, since a wrong
 * guess would cause spurious errors.
 */
final class LineErrorStrategy extends DefaultErrorStrategy {
    private record DecisionPoint(int state, ParserRuleContext ruleContext) {}

    private static final int MAX_DECISION_POINTS = 16;
    private static final Set<Integer> UNIT_TOKENS =
            Set.of(PoolPolicyParser.H, PoolPolicyParser.MIN, PoolPolicyParser.MS, PoolPolicyParser.S);

    private final DiagnosticList diagnostics;
    private final List<DecisionPoint> decisionPoints = new ArrayList<>(); // at the current token
    private int decisionTokenIndex = -1;

    LineErrorStrategy(DiagnosticList diagnostics) {
        this.diagnostics = diagnostics;
    }

    /**
     * Records the decision point, so that an error can list all alternatives: a loop in the grammar ends without an
     * error at a token that does not continue it.
     */
    @Override
    public void sync(Parser parser) {
        int index = parser.getInputStream().index();
        if (index != decisionTokenIndex) {
            decisionPoints.clear();
            decisionTokenIndex = index;
        }
        if (decisionPoints.size() < MAX_DECISION_POINTS) {
            decisionPoints.add(new DecisionPoint(parser.getState(), parser.getContext()));
        }
    }

    @Override
    public Token recoverInline(Parser parser) {
        throw new InputMismatchException(parser);
    }

    @Override
    public void reportError(Parser parser, RecognitionException error) {
        if (inErrorRecoveryMode(parser)) {
            return;
        }
        beginErrorCondition(parser);
        Token token = error.getOffendingToken();
        IntervalSet expected = new IntervalSet(error.getExpectedTokens());
        if (parser.getInputStream().index() == decisionTokenIndex) {
            for (DecisionPoint decisionPoint : decisionPoints) {
                expected.addAll(parser.getATN().getExpectedTokens(decisionPoint.state, decisionPoint.ruleContext));
            }
        }
        diagnostics.error(positionOf(token), describeFound(token), describeExpected(expected));
    }

    @Override
    public void recover(Parser parser, RecognitionException error) {
        int type = parser.getInputStream().LA(1);
        while (type != Token.EOF && type != PoolPolicyParser.NL) {
            parser.consume();
            type = parser.getInputStream().LA(1);
        }
        if (parser.getContext() instanceof PoolPolicyParser.LineContext && type != Token.EOF) {
            parser.consume();
            endErrorCondition(parser);
        }
    }

    static SourcePosition positionOf(Token token) {
        return new SourcePosition(token.getLine(), token.getCharPositionInLine() + 1);
    }

    private static String describeFound(Token token) {
        return switch (token.getType()) {
            case PoolPolicyParser.NL, Token.EOF -> "the end of the line";
            case PoolPolicyParser.UNCLOSED ->
                "a name without its closing quote: " + DiagnosticList.printable(token.getText());
            default -> "'" + DiagnosticList.printable(token.getText()) + "'";
        };
    }

    private static String describeExpected(IntervalSet types) {
        TreeSet<String> names = new TreeSet<>();
        boolean groupNameExpected = types.contains(PoolPolicyParser.NAME);
        for (Interval interval : types.getIntervals()) {
            for (int type = Math.max(1, interval.a); type <= interval.b; type++) {
                if (!groupNameExpected
                        || !UNIT_TOKENS.contains(
                                type)) { // unit keywords are also group names; listing them adds nothing
                    names.add(displayName(type));
                }
            }
        }
        return String.join(", ", names);
    }

    private static String displayName(int type) {
        return switch (type) {
            case PoolPolicyParser.NL -> "the end of the line";
            case PoolPolicyParser.STRING -> "a name in quotes";
            case PoolPolicyParser.INT -> "a whole number";
            case PoolPolicyParser.DECIMAL -> "a decimal number";
            case PoolPolicyParser.NAME -> "a group's name, which is no word of the language";
            case PoolPolicyParser.TIME_OF_DAY -> "a time of day such as 08:00";
            default -> PoolPolicyParser.VOCABULARY.getDisplayName(type);
        };
    }
}
