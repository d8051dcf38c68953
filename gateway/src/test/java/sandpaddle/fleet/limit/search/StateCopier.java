package sandpaddle.fleet.limit.search;

import java.lang.reflect.Constructor;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Deep copies and digests of a model, by reflection: a search copies a state to explore several events from it, and
 * recognizes states that it has reached before by their digests. Copied are arrays, collections, maps and objects of
 * the limit packages; copies share records, enums and all other objects.
 */
final class StateCopier {
    private static final String COPIED_PACKAGE = "sandpaddle.fleet.limit.";
    private static final Map<Class<?>, ClassLayout> LAYOUTS = new HashMap<>();

    private record ClassLayout(Constructor<?> constructor, List<Field> fields) {}

    private StateCopier() {}

    private static ClassLayout layout(Class<?> type) {
        return LAYOUTS.computeIfAbsent(type, uncached -> {
            List<Field> fields = new ArrayList<>();
            for (Class<?> declaring = uncached; declaring != Object.class; declaring = declaring.getSuperclass()) {
                for (Field field : declaring.getDeclaredFields()) {
                    if (!Modifier.isStatic(field.getModifiers())) {
                        field.setAccessible(true);
                        fields.add(field);
                    }
                }
            }
            try { // creates objects like deserialization does, without running their constructors
                Class<?> factory = Class.forName("sun.reflect.ReflectionFactory");
                return new ClassLayout(
                        (Constructor<?>)
                                factory.getMethod("newConstructorForSerialization", Class.class, Constructor.class)
                                        .invoke(
                                                factory.getMethod("getReflectionFactory")
                                                        .invoke(null),
                                                uncached,
                                                Object.class.getDeclaredConstructor()),
                        fields);
            } catch (ReflectiveOperationException e) {
                throw new AssertionError(e);
            }
        });
    }

    private static boolean isMutable(Object object) {
        Class<?> type = object.getClass();
        return type.getName().startsWith(COPIED_PACKAGE)
                && !type.isRecord()
                && !type.isEnum()
                && !layout(type).fields.isEmpty();
    }

    @SuppressWarnings("unchecked")
    static <T> T copy(T root) {
        return (T) copy(root, new IdentityHashMap<>());
    }

    private static Object copy(Object object, IdentityHashMap<Object, Object> copies) {
        if (object == null) {
            return null;
        } else if (object instanceof long[] longs) {
            return longs.clone();
        } else if (object instanceof int[] ints) {
            return ints.clone();
        } else if (object instanceof Map<?, ?> map) {
            Map<Object, Object> result = map instanceof TreeMap
                    ? new TreeMap<>()
                    : map instanceof LinkedHashMap ? new LinkedHashMap<>() : new HashMap<>();
            map.forEach((key, value) -> result.put(key, copy(value, copies)));
            return result;
        } else if (object instanceof Collection<?> collection) {
            Collection<Object> result = object instanceof ArrayDeque
                    ? new ArrayDeque<>()
                    : object instanceof LinkedHashSet
                            ? new LinkedHashSet<>()
                            : object instanceof HashSet ? new HashSet<>() : new ArrayList<>(collection.size());
            collection.forEach(element -> result.add(copy(element, copies)));
            return result;
        } else if (!isMutable(object)) {
            return object;
        }
        Object existing = copies.get(object);
        if (existing != null) {
            return existing;
        }
        ClassLayout layout = layout(object.getClass());
        try {
            Object result = layout.constructor.newInstance();
            copies.put(object, result);
            for (Field field : layout.fields) {
                if (field.getType() == long.class) {
                    field.setLong(result, field.getLong(object));
                } else {
                    Object value = field.get(object);
                    field.set(result, field.getType().isPrimitive() ? value : copy(value, copies));
                }
            }
            return result;
        } catch (ReflectiveOperationException e) {
            throw new AssertionError(e);
        }
    }

    /** A digest of 64 bits: with a million states the probability that any two have the same is 1 in 30 million. */
    static long digest(Object root) {
        long[] hash = {0x9e3779b97f4a7c15L};
        digest(root, new IdentityHashMap<>(), hash);
        return hash[0];
    }

    private static void add(long[] hash, long value) {
        long x = (hash[0] ^ value) * 0xbf58476d1ce4e5b9L;
        x = (x ^ x >>> 29) * 0x94d049bb133111ebL;
        hash[0] = x ^ x >>> 32;
    }

    private static void digest(Object object, IdentityHashMap<Object, Boolean> visited, long[] hash) {
        if (object == null) {
            add(hash, 17);
        } else if (object instanceof long[] longs) {
            for (long value : longs) {
                add(hash, value);
            }
        } else if (object instanceof int[] ints) {
            for (int value : ints) {
                add(hash, value);
            }
        } else if (object instanceof Map<?, ?> map) {
            add(hash, map.size());
            boolean ordered = map instanceof TreeMap || map instanceof LinkedHashMap;
            (ordered ? map : new TreeMap<Object, Object>(map)).forEach((key, value) -> {
                add(hash, key.hashCode());
                digest(value, visited, hash);
            });
        } else if (object instanceof Collection<?> collection) {
            add(hash, collection.size());
            collection.forEach(element -> digest(element, visited, hash));
        } else if (object instanceof Long
                || object instanceof Integer
                || object instanceof Boolean
                || object instanceof String
                || object instanceof Double) {
            add(hash, object.hashCode());
        } else if (object instanceof Enum<?> constant) {
            add(hash, constant.ordinal());
        } else if (object.getClass().isRecord()) {
            add(hash, object.hashCode());
        } else if (isMutable(object) && visited.put(object, true) == null) {
            try {
                for (Field field : layout(object.getClass()).fields) {
                    if (field.getType() == long.class) {
                        add(hash, field.getLong(object));
                    } else {
                        digest(field.get(object), visited, hash);
                    }
                }
            } catch (IllegalAccessException e) {
                throw new AssertionError(e);
            }
        }
    }
}
