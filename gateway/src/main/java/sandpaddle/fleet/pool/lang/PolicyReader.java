package sandpaddle.fleet.pool.lang;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CoderResult;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.Token;
import sandpaddle.fleet.pool.model.DiagnosticList;
import sandpaddle.fleet.pool.model.PolicyLimits;
import sandpaddle.fleet.pool.model.SourcePosition;

/**
 * Parses the text of a policy, and reports the errors that concern single statements. Each line is parsed separately
 * with one token of lookahead, so the cost is linear in the length of the file, which is checked before parsing.
 */
public final class PolicyReader {
    private PolicyReader() {}

    /** Returns the statements that could be parsed; errors of the others are added to the diagnostics. */
    public static ParsedPolicy read(byte[] file, DiagnosticList diagnostics) {
        ParsedPolicy parsed = new ParsedPolicy();
        SourcePosition start = new SourcePosition(1, 1);
        if (file.length > PolicyLimits.MAX_BYTES) {
            diagnostics.error(start, "a file of " + file.length + " bytes", PolicyLimits.MAX_BYTES + " bytes at most");
            return parsed;
        }
        Optional<String> text = decode(file, diagnostics);
        text.ifPresent(decoded -> read(decoded, parsed, diagnostics));
        return parsed;
    }

    private static Optional<String> decode(byte[] file, DiagnosticList diagnostics) {
        CharsetDecoder decoder = StandardCharsets.UTF_8.newDecoder().onMalformedInput(CodingErrorAction.REPORT);
        ByteBuffer input = ByteBuffer.wrap(file);
        CharBuffer output = CharBuffer.allocate(file.length);
        CoderResult result = decoder.decode(input, output, true);
        output.flip();
        if (!result.isError()) {
            return Optional.of(output.toString());
        }
        String before = output.toString();
        int line = 1 + (int) before.chars().filter(c -> c == '\n').count();
        String lastLine = before.substring(before.lastIndexOf('\n') + 1);
        diagnostics.error(
                new SourcePosition(line, 1 + lastLine.codePointCount(0, lastLine.length())),
                String.format("a byte 0x%02x that is not UTF-8", file[input.position()]),
                "text in UTF-8");
        return Optional.empty();
    }

    private static void read(String text, ParsedPolicy parsed, DiagnosticList diagnostics) {
        PoolPolicyLexer lexer =
                new PoolPolicyLexer(CharStreams.fromString(text + "\n")); // the last line may lack its line break
        lexer.removeErrorListeners();
        PoolPolicyParser parser = new PoolPolicyParser(new CommonTokenStream(lexer));
        parser.removeErrorListeners();
        parser.setErrorHandler(new LineErrorStrategy(diagnostics));
        StatementReader statements = new StatementReader(parsed, diagnostics);
        while (parser.getInputStream().LA(1) != Token.EOF && !diagnostics.isErrorLimitReached()) {
            int errorsBefore = diagnostics.errorCount();
            Token firstToken = parser.getCurrentToken();
            PoolPolicyParser.LineContext line = parser.line();
            if (diagnostics.errorCount() > errorsBefore
                    || diagnostics.isErrorLimitReached()
                    || line.statement() == null) {
                continue;
            }
            if (parsed.statementCount() >= PolicyLimits.MAX_STATEMENTS) {
                diagnostics.error(
                        LineErrorStrategy.positionOf(firstToken),
                        "more than " + PolicyLimits.MAX_STATEMENTS + " statements",
                        PolicyLimits.MAX_STATEMENTS + " at most");
                return;
            }
            statements.read(line.statement());
        }
    }
}
