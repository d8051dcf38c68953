package sandpaddle.config;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import sandpaddle.fleet.member.Member;
import sandpaddle.fleet.node.agree.FleetConfig;
import sandpaddle.fleet.pool.PoolPolicyCheck;
import sandpaddle.fleet.pool.model.KnownNames;
import sandpaddle.fleet.pool.model.PolicyDiagnostic;

/**
 * Reads the file of the pool policy that {@code fleet.agreed.pool} names. Its errors are errors of the operator's file,
 * so that an invalid policy is never applied, however the operator's file is read.
 */
final class PoolPolicyReader {
    private static final String KEY = "pool";

    private PoolPolicyReader() {}

    /** The policy's text; empty if the file names none, or an invalid one. */
    static String read(SectionReader section, List<Member> members) {
        Optional<Path> file = section.filePath(KEY);
        if (file.isEmpty()) {
            return "";
        }
        byte[] text;
        try (InputStream in = Files.newInputStream(file.get())) {
            text = in.readNBytes(FleetConfig.MAX_TEXT_BYTES + 1);
        } catch (IOException e) {
            section.addErrorInFile(
                    KEY, file.get(), 1, 1, e.toString(), "a file that can be read where '" + KEY + "' says");
            return "";
        }
        if (text.length > FleetConfig.MAX_TEXT_BYTES) {
            section.addErrorInFile(
                    KEY,
                    file.get(),
                    1,
                    1,
                    "more than " + FleetConfig.MAX_TEXT_BYTES + " bytes",
                    "a policy of " + FleetConfig.MAX_TEXT_BYTES + " bytes at most, which gateways send to each other");
            return "";
        }
        List<PolicyDiagnostic> errors =
                PoolPolicyCheck.check(text, knownNames(members)).errors();
        errors.forEach(error -> section.addErrorInFile(
                KEY, file.get(), error.position().line(), error.position().column(), error.found(), error.allowed()));
        return errors.isEmpty() ? new String(text, StandardCharsets.UTF_8) : "";
    }

    /** Names from the same section alone: the platform names classes and engines, which may be added later. */
    private static KnownNames knownNames(List<Member> members) {
        if (members.isEmpty()) {
            return KnownNames.NONE;
        }
        Set<String> gateways = members.stream().map(Member::name).collect(Collectors.toSet());
        Set<String> zones = members.stream().map(Member::zone).collect(Collectors.toSet());
        return new KnownNames(
                Optional.empty(),
                Optional.empty(),
                Optional.of(zones),
                Optional.of(gateways),
                Optional.empty(),
                members.size());
    }
}
