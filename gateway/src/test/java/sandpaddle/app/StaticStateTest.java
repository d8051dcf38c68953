package sandpaddle.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayList;
import java.util.Collection;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * Static fields are final and deeply immutable, so that gateways in one process share no state through them. Values are
 * inspected recursively down to strings, numbers and the like.
 */
class StaticStateTest {
    /** Fields of a mutable type, with the reason why they hold no state of a gateway. */
    private static final Map<String, String> EXCEPTIONS = Map.ofEntries(
            Map.entry("decision.loadview.LoadView.UTILIZATION_FIELDS", "private, only checked for containing a value"),
            Map.entry("codec.HttpWriter.LAST_CHUNK", "private, only copied from"),
            Map.entry("codec.ContentEncoder.GZIP_HEADER", "private, only copied from"),
            Map.entry("fleet.link.queue.SendQueue.MAX_PERCENT_BY_URGENCY", "private, only read by place"),
            Map.entry("fleet.verdict.wire.EvidenceCodec.TOPICS", "private, only read by place"),
            Map.entry("fleet.verdict.wire.EvidenceCodec.FINDINGS", "private, only read by place"),
            Map.entry("config.JsonObject.FACTORY", "the library's table of keys it has read"),
            Map.entry("config.LocatedJson.FACTORY", "the library's table of keys it has read"),
            Map.entry("fleet.wire.CborIn.FACTORY", "the library's table of keys it has read"),
            Map.entry("fleet.wire.CborOut.FACTORY", "the library's, stateless for writing"),
            Map.entry("log.LogEvent.LOG", "the process has one log"),
            Map.entry("fleet.member.Roster.EMPTY", "an empty tree that is only copied"),
            Map.entry("fleet.store.mv.ChannelFilePath.CHANNELS", "files being opened by MVStore, by path"),
            Map.entry("fleet.store.mv.ChannelFilePath.LAST_NUMBER", "the counter for those paths"),
            Map.entry("fleet.node.pool.PoolTargets.NONE", "maps that only its constructor fills; empty"),
            Map.entry("fleet.outage.schedule.Schedule.NONE", "caches the zones that rules name; none"),
            Map.entry("fleet.state.raft.RaftCodec.MODEL", "the library's, stateless"));

    private static final Set<String> IMMUTABLE_TYPES = Set.of(
            "java.lang.String",
            "java.lang.Class",
            "java.lang.Object",
            "java.util.regex.Pattern",
            "java.math.BigDecimal",
            "java.math.BigInteger",
            "java.time.format.DateTimeFormatter");
    private static final List<String> IMMUTABLE_PREFIXES = List.of(
            "java.time.",
            "java.lang.invoke.",
            "sun.nio.fs.Unix",
            "sun.nio.cs.",
            "java.util.Comparators$",
            "java.util.Comparator$$Lambda");
    private static final List<String> UNMODIFIABLE_COLLECTIONS = List.of(
            "java.util.ImmutableCollections$",
            "java.util.Collections$Unmodifiable",
            "java.util.Collections$Empty",
            "java.util.Collections$Singleton",
            "java.util.Collections$ReverseComparator");

    private final Map<Object, Boolean> seen = new IdentityHashMap<>();

    /** Null if a value is deeply immutable; otherwise the mutable part. */
    private String mutablePart(Object value) throws ReflectiveOperationException {
        if (value == null
                || seen.put(value, true) != null
                || value instanceof Number number && isBoxed(number)
                || value instanceof Boolean
                || value instanceof Character
                || value instanceof Enum) {
            return null;
        }
        Class<?> type = value.getClass();
        String name = type.getName();
        if (UNMODIFIABLE_COLLECTIONS.stream().anyMatch(name::startsWith)) {
            List<Object> parts = new ArrayList<>();
            if (value instanceof Map<?, ?> map) {
                parts.addAll(map.keySet());
                parts.addAll(map.values());
            } else if (value instanceof Collection<?> c) {
                parts.addAll(c);
            }
            return mutablePartOfAny(parts);
        } else if (value instanceof Optional<?> optional) {
            return mutablePart(optional.orElse(null));
        } else if (IMMUTABLE_TYPES.contains(name) || IMMUTABLE_PREFIXES.stream().anyMatch(name::startsWith)) {
            return null;
        } else if (name.startsWith("sandpaddle.")) {
            return mutablePartOfFields(value, type);
        }
        return name;
    }

    private static boolean isBoxed(Number number) {
        return number.getClass().getPackageName().equals("java.lang");
    }

    private String mutablePartOfAny(List<Object> parts) throws ReflectiveOperationException {
        for (Object part : parts) {
            String mutable = mutablePart(part);
            if (mutable != null) {
                return mutable;
            }
        }
        return null;
    }

    private String mutablePartOfFields(Object value, Class<?> type) throws ReflectiveOperationException {
        for (Class<?> c = type; c != Object.class; c = c.getSuperclass()) {
            for (Field field : c.getDeclaredFields()) {
                if (Modifier.isStatic(field.getModifiers())) {
                    continue;
                }
                if (!Modifier.isFinal(field.getModifiers())) {
                    return c.getName() + "." + field.getName();
                }
                field.setAccessible(true);
                String mutable = mutablePart(field.get(value));
                if (mutable != null) {
                    return field.getName() + ": " + mutable;
                }
            }
        }
        return null;
    }

    @Test
    void staticFieldsAreDeeplyImmutable() throws ReflectiveOperationException {
        Set<String> violations = new TreeSet<>();
        Set<String> usedExceptions = new TreeSet<>();
        int fields = 0;
        for (JavaClass c : new ClassFileImporter()
                .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                .importPackages("sandpaddle")) {
            if (c.getAllRawSuperclasses().stream()
                    .anyMatch(superclass -> superclass.getPackageName().startsWith("org.antlr"))) {
                continue; // generated: tables of the grammar, shared by all gateways
            }
            for (Field field : c.reflect().getDeclaredFields()) {
                if (!Modifier.isStatic(field.getModifiers()) || field.isSynthetic()) {
                    continue;
                }
                fields++;
                String name = (c.getName() + "." + field.getName()).substring("sandpaddle.".length());
                String violation = !Modifier.isFinal(field.getModifiers()) ? "not final" : null;
                if (violation == null && !field.getType().isPrimitive()) {
                    field.setAccessible(true);
                    violation = mutablePart(field.get(null));
                }
                if (violation != null && EXCEPTIONS.containsKey(name)) {
                    usedExceptions.add(name);
                } else if (violation != null) {
                    violations.add(name + ": " + violation);
                }
            }
        }
        assertEquals(Set.of(), violations);
        assertEquals(
                new TreeSet<>(EXCEPTIONS.keySet()),
                usedExceptions); // an exception that is no longer needed must be removed
        assertTrue(fields > 300, "fields " + fields);
    }
}
