package sandpaddle.fleet.pool.lang;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.atn.DecisionInfo;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.pool.PoolPolicyCheck;
import sandpaddle.fleet.pool.model.DiagnosticList;
import sandpaddle.fleet.pool.model.KnownNames;

class GrammarTest {
    /** A decision that needs more lookahead would invoke adaptive prediction, whose cost is not bounded. */
    @Test
    void everyDecisionNeedsOneTokenOfLookahead() {
        String text = """
                policy "p" version 1 language 1
                group a = "x", group b,
                  "y"
                budget fleet 1 connections
                budget engine kind "k" 1 connections each
                budget engine "e" 1 connections
                reserve control 1 each
                borrow idle give back within 2 s
                borrow nothing
                tenant "x" class "c" hall "h" weight 1 floor 1 ceiling 1
                default tenant gateway "g" weight 1.5
                when storm and time 08:00 to 09:00 zone "Z" and condemned engines over 1 percent tenant group a floor 1
                when isolated hall "h" and outage of hall "h" within 1 h and outage of hall "h" lasts budget fleet 2 x
                ( faulty
                """;
        PoolPolicyParser parser =
                new PoolPolicyParser(new CommonTokenStream(new PoolPolicyLexer(CharStreams.fromString(text))));
        parser.removeErrorListeners();
        parser.setErrorHandler(new LineErrorStrategy(new DiagnosticList()));
        parser.setProfile(true);
        int lines = 0;
        for (; parser.getInputStream().LA(1) != Token.EOF; lines++) {
            parser.line();
        }
        assertEquals(13, lines, "one statement spans two lines");
        assertEquals(
                0,
                Arrays.stream(parser.getParseInfo().getDecisionInfo())
                        .mapToLong((DecisionInfo d) -> d.invocations)
                        .sum());
    }

    private static String reference() throws IOException, URISyntaxException {
        Path classes = Path.of(GrammarTest.class.getResource("/").toURI());
        return Files.readString(classes.resolve("../../../docs/operators/fleet-state/pool-policy.md"));
    }

    @Test
    void referenceListsEveryKeyword() throws IOException, URISyntaxException {
        String words = reference().split("## Words of the language", 2)[1].split("##", 2)[0];
        List<String> missing = new ArrayList<>();
        for (int type = 1; type <= PoolPolicyParser.VOCABULARY.getMaxTokenType(); type++) {
            String literal = PoolPolicyParser.VOCABULARY.getLiteralName(type);
            if (literal != null
                    && Character.isLetter(literal.charAt(1))
                    && !words.contains("`" + literal.substring(1, literal.length() - 1) + "`")) {
                missing.add(literal);
            }
        }
        assertEquals(List.of(), missing);
    }

    @Test
    void referenceExamplesHaveNoDiagnostics() throws IOException, URISyntaxException {
        Matcher examples =
                Pattern.compile("```policy\n(.*?)```", Pattern.DOTALL).matcher(reference());
        int count = 0;
        while (examples.find()) {
            PoolPolicyCheck check =
                    PoolPolicyCheck.check(examples.group(1).getBytes(StandardCharsets.UTF_8), KnownNames.NONE);
            assertEquals(List.of(), check.diagnostics(), examples.group(1));
            count++;
        }
        assertTrue(count >= 2, "the reference must have examples");
    }
}
