package sandpaddle.fleet.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import sandpaddle.fleet.pool.model.PolicyDiagnostic;
import sandpaddle.fleet.pool.solve.Allocation;
import sandpaddle.fleet.pool.solve.PoolSolver;

/** Checks that each file of the suite yields exactly the diagnostics and allocations that its comments state. */
class PolicySuiteTest {
    @TestFactory
    Stream<DynamicTest> validPolicies() {
        return SuiteFile.files("good").stream()
                .map(p -> DynamicTest.dynamicTest(p.getFileName().toString(), () -> {
                    SuiteFile file = new SuiteFile(p);
                    PoolPolicyCheck check = PoolPolicyCheck.check(p, file.known());
                    assertDiagnostics(file, check);
                    assertTrue(check.policy().isPresent(), "the policy must be valid");
                    assertTrue(!file.expectedAllocations.isEmpty(), "the file must state an expected allocation");
                    Allocation allocation = PoolSolver.solve(check.policy().get(), file.solverInput(), Allocation.NONE);
                    for (String[] expect : file.expectedAllocations) {
                        assertEquals(
                                Integer.parseInt(expect[3]),
                                sum(allocation, expect[1], expect[2]),
                                String.join(" ", expect) + " in " + allocation.rows());
                    }
                }));
    }

    @TestFactory
    Stream<DynamicTest> invalidPolicies() {
        return SuiteFile.files("bad").stream()
                .map(p -> DynamicTest.dynamicTest(p.getFileName().toString(), () -> {
                    SuiteFile file = new SuiteFile(p);
                    PoolPolicyCheck check = PoolPolicyCheck.check(p, file.known());
                    assertDiagnostics(file, check);
                    assertTrue(check.policy().isEmpty() && !check.errors().isEmpty(), "the policy must be invalid");
                }));
    }

    @Test
    void suiteHasAtLeastTheExpectedNumberOfFiles() {
        assertTrue(
                SuiteFile.files("good").size() >= 25 && SuiteFile.files("bad").size() >= 35);
    }

    private static int sum(Allocation allocation, String tenant, String gateway) {
        return allocation.rows().stream()
                .filter(r -> tenant.equals("*") || r.tenant().equals(tenant))
                .filter(r -> gateway.equals("*") || r.gateway().equals(gateway))
                .mapToInt(Allocation.Row::connections)
                .sum();
    }

    /** Compares diagnostics by severity, position and the part of the text that the file states. */
    private static void assertDiagnostics(SuiteFile file, PoolPolicyCheck check) {
        Set<String> unmatched = new TreeSet<>(file.expectedDiagnostics);
        List<String> unexpected = new ArrayList<>();
        for (PolicyDiagnostic diagnostic : check.diagnostics()) {
            String prefix = diagnostic.severity() == PolicyDiagnostic.Severity.ERROR ? "fault " : "warning ";
            String position = prefix + diagnostic.position().line() + ":"
                    + diagnostic.position().column() + " ";
            String text = "found " + diagnostic.found() + "; allowed: " + diagnostic.allowed();
            boolean matched =
                    unmatched.removeIf(e -> e.startsWith(position) && text.contains(e.substring(position.length())));
            if (!matched) {
                unexpected.add(position + text);
            }
        }
        assertEquals(List.of(), unexpected, file.name + ": unexpected diagnostics");
        assertEquals(Set.of(), unmatched, file.name + ": missing diagnostics");
    }

    /** Prints the diagnostics and allocations of policy files, as a help for writing their expected results. */
    public static void main(String[] files) throws IOException {
        for (String path : files) {
            SuiteFile file = new SuiteFile(Path.of(path));
            System.out.println("## " + file.name);
            PoolPolicyCheck check = PoolPolicyCheck.check(Path.of(path), file.known());
            check.diagnostics()
                    .forEach(f ->
                            System.out.println((f.severity() == PolicyDiagnostic.Severity.ERROR ? "fault " : "warning ")
                                    + f.position().line() + ":" + f.position().column() + " found " + f.found()
                                    + "; allowed: "
                                    + f.allowed()));
            check.policy().ifPresent(p -> System.out.println(PoolSolver.solve(p, file.solverInput(), Allocation.NONE)));
        }
    }
}
