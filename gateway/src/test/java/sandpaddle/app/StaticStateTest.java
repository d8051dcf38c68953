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
 * What is static never changes: nothing of one gateway can reach another one in its process that way. The values are
 * looked into, down to texts, numbers and the like.
 */
class StaticStateTest {
    /** What may be of a type that can change, and why nothing of a gateway is in it. */
    private static final Map<String, String> EXCEPT = Map.ofEntries(
            Map.entry("decision.loadview.LoadView.RESOURCE_SHARES", "private, asked only whether it holds a value"),
            Map.entry("codec.HttpWriter.LAST_CHUNK", "private, only copied from"),
            Map.entry("codec.ContentEncoder.GZIP_HEADER", "private, only copied from"),
            Map.entry("fleet.link.queue.SendQueue.MAX_PERCENT_BY_URGENCY", "private, only read by place"),
            Map.entry("fleet.verdict.wire.EvidenceCodec.TOPICS", "private, only read by place"),
            Map.entry("fleet.verdict.wire.EvidenceCodec.FINDINGS", "private, only read by place"),
            Map.entry("config.JsonObject.FACTORY", "the library's table of keys it has read"),
            Map.entry("config.LocatedJson.FACTORY", "the library's table of keys it has read"),
            Map.entry("fleet.wire.CborIn.FACTORY", "the library's table of keys it has read"),
            Map.entry("fleet.wire.CborOut.FACTORY", "the library's, without state for writing"),
            Map.entry("log.LogEvent.LOG", "the process has one log"),
            Map.entry("fleet.member.Roster.EMPTY", "an empty tree that is only copied"),
            Map.entry("fleet.store.mv.DiskPath.OFFERED", "files on their way to the store's library, by number"),
            Map.entry("fleet.store.mv.DiskPath.NUMBER", "the numbers of those"),
            Map.entry("fleet.node.pool.PoolTargets.NONE", "maps that only its constructor fills: empty"),
            Map.entry("fleet.outage.schedule.Schedule.NONE", "remembers halls that a rule names: none"),
            Map.entry("fleet.state.raft.RaftCodec.MODEL", "the library's, without state"));

    private static final Set<String> PLAIN = Set.of(
            "java.lang.String",
            "java.lang.Class",
            "java.lang.Object",
            "java.util.regex.Pattern",
            "java.math.BigDecimal",
            "java.math.BigInteger",
            "java.time.format.DateTimeFormatter");
    private static final List<String> PLAIN_WITHIN = List.of(
            "java.time.",
            "java.lang.invoke.",
            "sun.nio.fs.Unix",
            "sun.nio.cs.",
            "java.util.Comparators$",
            "java.util.Comparator$$Lambda");
    private static final List<String> SEALED = List.of(
            "java.util.ImmutableCollections$",
            "java.util.Collections$Unmodifiable",
            "java.util.Collections$Empty",
            "java.util.Collections$Singleton",
            "java.util.Collections$ReverseComparator");

    private final Map<Object, Boolean> seen = new IdentityHashMap<>();

    /** Null where a value can never change, else what in it can. */
    private String changes(Object value) throws ReflectiveOperationException {
        if (value == null
                || seen.put(value, true) != null
                || value instanceof Number n && isBoxed(n)
                || value instanceof Boolean
                || value instanceof Character
                || value instanceof Enum) {
            return null;
        }
        Class<?> type = value.getClass();
        String name = type.getName();
        if (SEALED.stream().anyMatch(name::startsWith)) {
            List<Object> parts = new ArrayList<>();
            if (value instanceof Map<?, ?> m) {
                parts.addAll(m.keySet());
                parts.addAll(m.values());
            } else if (value instanceof Collection<?> c) {
                parts.addAll(c);
            }
            return changesOfAny(parts);
        } else if (value instanceof Optional<?> o) {
            return changes(o.orElse(null));
        } else if (PLAIN.contains(name) || PLAIN_WITHIN.stream().anyMatch(name::startsWith)) {
            return null;
        } else if (name.startsWith("sandpaddle.")) {
            return changesOfFields(value, type);
        }
        return name;
    }

    private static boolean isBoxed(Number n) {
        return n.getClass().getPackageName().equals("java.lang");
    }

    private String changesOfAny(List<Object> parts) throws ReflectiveOperationException {
        for (Object part : parts) {
            String within = changes(part);
            if (within != null) {
                return within;
            }
        }
        return null;
    }

    private String changesOfFields(Object value, Class<?> type) throws ReflectiveOperationException {
        for (Class<?> c = type; c != Object.class; c = c.getSuperclass()) {
            for (Field f : c.getDeclaredFields()) {
                if (Modifier.isStatic(f.getModifiers())) {
                    continue;
                }
                if (!Modifier.isFinal(f.getModifiers())) {
                    return c.getName() + "." + f.getName();
                }
                f.setAccessible(true);
                String within = changes(f.get(value));
                if (within != null) {
                    return f.getName() + ": " + within;
                }
            }
        }
        return null;
    }

    @Test
    void nothingStaticEverChanges() throws ReflectiveOperationException {
        Set<String> faults = new TreeSet<>();
        Set<String> excepted = new TreeSet<>();
        int fields = 0;
        for (JavaClass c : new ClassFileImporter()
                .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                .importPackages("sandpaddle")) {
            if (c.getAllRawSuperclasses().stream()
                    .anyMatch(s -> s.getPackageName().startsWith("org.antlr"))) {
                continue; // generated: tables of the grammar, the same for all
            }
            for (Field f : c.reflect().getDeclaredFields()) {
                if (!Modifier.isStatic(f.getModifiers()) || f.isSynthetic()) {
                    continue;
                }
                fields++;
                String name = (c.getName() + "." + f.getName()).substring("sandpaddle.".length());
                String fault = !Modifier.isFinal(f.getModifiers()) ? "not final" : null;
                if (fault == null && !f.getType().isPrimitive()) {
                    f.setAccessible(true);
                    fault = changes(f.get(null));
                }
                if (fault != null && EXCEPT.containsKey(name)) {
                    excepted.add(name);
                } else if (fault != null) {
                    faults.add(name + ": " + fault);
                }
            }
        }
        assertEquals(Set.of(), faults);
        assertEquals(new TreeSet<>(EXCEPT.keySet()), excepted); // one that is no longer needed goes
        assertTrue(fields > 300, "fields " + fields);
    }
}
