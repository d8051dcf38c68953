package sandpaddle.fleet.pool.lang;

import java.util.ArrayList;
import java.util.List;
import sandpaddle.fleet.pool.model.SourcePosition;
import sandpaddle.fleet.pool.model.Statement;

/** The statements of a policy file as parsed, before any check across statements. */
public final class ParsedPolicy {
    /** The statement that names the policy. */
    public record Header(SourcePosition position, String name, int version) {}

    /** The definition of a tenant group, with its members unresolved. */
    public record GroupDefinition(SourcePosition position, String name, List<Member> members) {}

    /**
     * A member of a group.
     *
     * @param isGroup whether the name is that of another group rather than of a tenant
     */
    public record Member(SourcePosition position, boolean isGroup, String name) {}

    /** The kind of object that a name refers to. */
    public enum Subject {
        TENANT,
        GROUP,
        CLASS,
        ZONE,
        GATEWAY,
        KIND,
        ENGINE
    }

    /** A name that a statement refers to. */
    public record NameReference(SourcePosition position, Subject subject, String name) {}

    /** The headers; a valid policy has one. */
    public final List<Header> headers = new ArrayList<>();
    /** The group definitions, in the order of the file. */
    public final List<GroupDefinition> groups = new ArrayList<>();
    /** All other statements, in the order of the file. */
    public final List<Statement> statements = new ArrayList<>();
    /** The names that statements refer to, except members of groups. */
    public final List<NameReference> references = new ArrayList<>();

    int statementCount() {
        return headers.size() + groups.size() + statements.size();
    }
}
