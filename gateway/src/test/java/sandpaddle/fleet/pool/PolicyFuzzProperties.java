package sandpaddle.fleet.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import sandpaddle.fleet.pool.model.DiagnosticList;
import sandpaddle.fleet.pool.model.KnownNames;
import sandpaddle.fleet.pool.model.PolicyLimits;
import sandpaddle.fleet.pool.solve.Allocation;
import sandpaddle.fleet.pool.solve.PoolSolver;

/** For any input, the check returns a policy or errors; each diagnostic is a single line of bounded length. */
class PolicyFuzzProperties {
    private static PoolPolicyCheck check(byte[] file) {
        PoolPolicyCheck check = PoolPolicyCheck.check(file, KnownNames.NONE);
        assertTrue(check.diagnostics().size() <= DiagnosticList.MAX_ERRORS + DiagnosticList.MAX_WARNINGS);
        assertEquals(check.policy().isEmpty(), !check.errors().isEmpty());
        check.diagnostics()
                .forEach(f -> assertTrue(
                        f.toString().length() < 600 && f.toString().lines().count() == 1, f::toString));
        return check;
    }

    private static PoolPolicyCheck check(String text) {
        return check(text.getBytes(StandardCharsets.UTF_8));
    }

    @Property(seed = "51", tries = 500)
    void randomBytesAreNeverAValidPolicy(@ForAll @Size(max = 400) byte[] file) {
        assertFalse(check(file).policy().isPresent(), "random bytes must not be a valid policy");
    }

    /** Mutates files of the suite: inserts, removes or replaces lines, or splices in parts of other files. */
    @Property(seed = "52", tries = 400)
    void mutatedPoliciesYieldAPolicyOrDiagnostics(@ForAll long seed) throws IOException {
        Random random = new Random(seed);
        List<String> lines = new ArrayList<>(Files.readAllLines(randomFile(random)));
        for (int i = 0; i < 1 + random.nextInt(4); i++) {
            List<String> other = Files.readAllLines(randomFile(random));
            String line = other.get(random.nextInt(other.size()));
            int at = random.nextInt(lines.size());
            switch (random.nextInt(4)) {
                case 0 -> lines.add(at, line);
                case 1 -> lines.remove(lines.size() > 1 ? at : 0);
                case 2 -> lines.set(at, lines.get(at).replaceFirst("\\b[a-z0-9]+\\b", "99"));
                default -> {
                    String cut = lines.get(at)
                            .substring(0, random.nextInt(lines.get(at).length() + 1));
                    lines.set(at, cut + " " + line.substring(random.nextInt(line.length() + 1)));
                }
            }
            if (lines.isEmpty()) {
                lines.add("");
            }
        }
        PoolPolicyCheck check = check(String.join("\n", lines));
        SuiteFile file = new SuiteFile(randomFile(random));
        check.policy()
                .ifPresent(p -> assertTrue(PoolSolver.solve(p, file.solverInput(), Allocation.NONE).rows().stream()
                        .allMatch(r -> r.connections() >= 0)));
    }

    private static Path randomFile(Random random) {
        List<Path> files = SuiteFile.files(random.nextInt(3) > 0 ? "good" : "bad");
        return files.get(random.nextInt(files.size()));
    }

    /** Inputs of maximum size that would be expensive for a parser with unbounded lookahead or recursion. */
    @Example
    void maximumSizeFilesOfOneRepeatedFragmentAreInvalid() {
        for (String fragment : List.of(
                "(",
                "\"",
                "a",
                "0",
                "\n",
                ",",
                "when ",
                "when storm and ",
                "group a = \"x\", ",
                "tenant ",
                "tenant \"a\" ",
                "weight 1 ",
                "x\n",
                "#",
                "group g = group g\n",
                "\"a\",\n",
                "\r\r",
                "=")) {
            String text = fragment.repeat(PolicyLimits.MAX_BYTES / fragment.length());
            assertTrue(check(text).policy().isEmpty(), fragment);
            check("policy \"p\" version 1\ntenant \"a\" weight 1\n" + text.substring(0, text.length() - 100));
        }
    }
}
