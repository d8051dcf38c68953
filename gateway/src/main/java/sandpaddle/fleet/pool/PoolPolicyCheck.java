package sandpaddle.fleet.pool;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import sandpaddle.fleet.pool.check.PolicyChecker;
import sandpaddle.fleet.pool.model.DiagnosticList;
import sandpaddle.fleet.pool.model.KnownNames;
import sandpaddle.fleet.pool.model.Policy;
import sandpaddle.fleet.pool.model.PolicyDiagnostic;
import sandpaddle.fleet.pool.model.PolicyDiagnostic.Severity;
import sandpaddle.fleet.pool.model.PolicyLimits;
import sandpaddle.fleet.pool.model.SourcePosition;

/**
 * The result of checking one policy file.
 *
 * @param policy present if there is no error
 * @param diagnostics sorted by position; at most {@value DiagnosticList#MAX_ERRORS} errors and
 * {@value DiagnosticList#MAX_WARNINGS} warnings
 * @param truncated whether there were more diagnostics
 * @param hash identifies the bytes of the file, valid or not, among gateways
 */
public record PoolPolicyCheck(
        Optional<Policy> policy, List<PolicyDiagnostic> diagnostics, boolean truncated, PolicyHash hash) {
    /** Checks the bytes of a file; names are checked against those that the caller knows. */
    public static PoolPolicyCheck check(byte[] file, KnownNames known) {
        DiagnosticList diagnostics = new DiagnosticList();
        Optional<Policy> policy = PolicyChecker.check(file, known, diagnostics);
        return new PoolPolicyCheck(policy, diagnostics.list(), diagnostics.isTruncated(), PolicyHash.of(file));
    }

    /** Checks a file, of which at most one byte more than {@link PolicyLimits#MAX_BYTES} is read. */
    public static PoolPolicyCheck check(Path file, KnownNames known) {
        try (InputStream in = Files.newInputStream(file)) {
            return check(in.readNBytes(PolicyLimits.MAX_BYTES + 1), known);
        } catch (IOException e) {
            DiagnosticList diagnostics = new DiagnosticList();
            diagnostics.error(
                    new SourcePosition(1, 1),
                    "a file that cannot be read: " + DiagnosticList.printable(e.toString(), 300),
                    "a file that this process may read");
            return new PoolPolicyCheck(Optional.empty(), diagnostics.list(), false, PolicyHash.of(new byte[0]));
        }
    }

    /** The diagnostics that make the policy invalid. */
    public List<PolicyDiagnostic> errors() {
        return diagnostics.stream()
                .filter(diagnostic -> diagnostic.severity() == Severity.ERROR)
                .toList();
    }

    /** The diagnostics that leave the policy valid. */
    public List<PolicyDiagnostic> warnings() {
        return diagnostics.stream()
                .filter(diagnostic -> diagnostic.severity() == Severity.WARNING)
                .toList();
    }
}
