package sandpaddle.fleet.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.pool.model.KnownNames;
import sandpaddle.fleet.pool.model.PolicyLimits;

/** Checks each limit of a policy file with an input that exceeds it by one. */
class PolicyBoundsTest {
    private static final String HEADER = "policy \"p\" version 1\nbudget fleet 1000000 connections\n";

    private static String onlyError(byte[] file) {
        PoolPolicyCheck check = PoolPolicyCheck.check(file, KnownNames.NONE);
        assertEquals(1, check.errors().size(), () -> check.diagnostics().toString());
        return check.errors().get(0).toString();
    }

    private static String onlyError(String text) {
        return onlyError(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String lines(int count, String format) {
        return IntStream.range(0, count).mapToObj(i -> String.format(format, i)).collect(Collectors.joining("\n"))
                + "\n";
    }

    @Test
    void rejectsFileAboveMaximumSize() {
        assertEquals(
                "1:1: found a file of 262145 bytes; allowed: 262144 bytes at most",
                onlyError("#".repeat(PolicyLimits.MAX_BYTES + 1)));
    }

    @Test
    void rejectsFileThatIsNotUtf8() {
        byte[] file = (HEADER + "# ü\ntenant \"ab").getBytes(StandardCharsets.UTF_8);
        file[file.length - 1] = (byte) 0xff;
        assertEquals("4:10: found a byte 0xff that is not UTF-8; allowed: text in UTF-8", onlyError(file));
    }

    @Test
    void reportsFileThatCannotBeRead() {
        List<String> diagnostics =
                PoolPolicyCheck.check(Path.of("no-such-directory", "p.pool"), KnownNames.NONE).errors().stream()
                        .map(Object::toString)
                        .toList();
        assertTrue(diagnostics.size() == 1 && diagnostics.get(0).contains("no-such-directory"), diagnostics::toString);
    }

    @Test
    void rejectsMoreThanTheMaximumNumberOfStatements() {
        assertTrue(onlyError(HEADER + lines(9_998, "class \"%d\" weight 2") + "class \"x\" weight 2\n")
                .startsWith("10001:1: found more than 10000 statements"));
    }

    @Test
    void acceptsTheMaximumNumberOfStatements() {
        String text = HEADER + lines(9_998, "class \"%d\" weight 2");
        assertEquals(
                List.of(),
                PoolPolicyCheck.check(text.getBytes(StandardCharsets.UTF_8), KnownNames.NONE)
                        .diagnostics());
    }

    @Test
    void rejectsMoreThanTheMaximumNumberOfTenants() {
        assertTrue(onlyError(HEADER + lines(4_097, "tenant \"%d\" weight 2")).contains("found 4097 tenants named"));
    }

    @Test
    void rejectsGroupsThatExpandToTooManySelectors() {
        String group = "group g = "
                + IntStream.range(0, 4_000).mapToObj(i -> "\"" + i + "\"").collect(Collectors.joining(", ")) + "\n";
        assertTrue(onlyError(HEADER + group + lines(26, "tenant group g class \"%d\" weight 2"))
                .contains("more than 100000 selections"));
    }

    @Test
    void rejectsTooManyStatementsOfOneSubject() {
        String statements = IntStream.range(0, 201)
                .mapToObj(i -> String.format(
                        "when time %02d:%02d to %02d:%02d budget fleet 9 connections",
                        i / 60, i % 60, 20 + i / 60, i % 60))
                .collect(Collectors.joining("\n"));
        assertTrue(
                onlyError("policy \"p\" version 1\n" + statements).contains("more than 200 statements of one subject"));
    }

    @Test
    void warnsWhenConditionCombinationsExceedTheLimit() {
        String text = HEADER + lines(20, "when isolated hall \"%d\" tenant \"a\" weight 2");
        PoolPolicyCheck check = PoolPolicyCheck.check(text.getBytes(StandardCharsets.UTF_8), KnownNames.NONE);
        assertTrue(check.policy().isPresent());
        assertTrue(
                check.warnings().get(0).found().contains("more combinations"),
                () -> check.diagnostics().toString());
    }

    @Test
    void keepsErrorsWhenWarningsExceedTheirLimit() {
        PoolPolicyCheck check = PoolPolicyCheck.check(
                (HEADER + lines(300, "group g%d = \"a\"") + "budget fleet 1 connections\n")
                        .getBytes(StandardCharsets.UTF_8),
                KnownNames.NONE);
        assertEquals(50, check.warnings().size());
        assertEquals(1, check.errors().size());
        assertTrue(check.truncated());
    }

    @Test
    void truncatesErrorsAndReportsIt() {
        PoolPolicyCheck check =
                PoolPolicyCheck.check("x\n".repeat(300).getBytes(StandardCharsets.UTF_8), KnownNames.NONE);
        assertEquals(200, check.diagnostics().size());
        assertTrue(check.truncated());
    }
}
