package sandpaddle.fleet.pool.lang;

import java.util.ArrayList;
import java.util.List;
import sandpaddle.fleet.pool.model.SourcePosition;
import sandpaddle.fleet.pool.model.Statement;

/** The statements of a policy file as parsed, before any check across statements. */
public final class PolicyDraft {
    /** The line that names the policy. */
    public record Header(SourcePosition at, String name, int version) {}

    /** A group as written. */
    public record GroupDraft(SourcePosition at, String name, List<Member> members) {}

    /** A tenant or another group within a group. */
    public record Member(SourcePosition at, boolean group, String name) {}

    /** What a name stands for. */
    public enum Subject {
        TENANT,
        GROUP,
        CLASS,
        ZONE,
        GATEWAY,
        KIND,
        ENGINE
    }

    /** A name that a rule mentions. */
    public record Mention(SourcePosition at, Subject subject, String name) {}

    public final List<Header> headers = new ArrayList<>();
    public final List<GroupDraft> groups = new ArrayList<>();
    public final List<Statement> rules = new ArrayList<>();
    public final List<Mention> mentions = new ArrayList<>();

    int statements() {
        return headers.size() + groups.size() + rules.size();
    }
}
