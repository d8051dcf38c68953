package sandpaddle.app;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.core.domain.JavaAccess;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Spans of time are not measured by the wall clock, which may be set at any time. */
class WallClockUseTest {
    /** The classes that read the wall clock, with the reason why no span of time depends on it. */
    private static final Map<String, String> READERS = Map.of(
            "app.Server", "passes it to the monitor that logs when it was set",
            "app.WallClockMonitor", "logs when it was set",
            "dispatch.EndpointListHandler", "compares it with starts in the list, which bound its error",
            "fleet.node.FleetNode", "draws an incarnation",
            "fleet.node.quota.PoolCoordinator", "policies have conditions on the time of day",
            "fleet.node.outage.OutageService", "outages are scheduled by the calendar",
            "fleet.node.outage.OutageThread", "ages of results that an earlier process stored");

    private static final Set<String> READING_METHODS = Set.of(
            "java.lang.System.currentTimeMillis",
            "java.time.Clock.systemUTC",
            "java.time.Clock.systemDefaultZone",
            "java.time.Clock.instant",
            "java.time.Clock.millis",
            "java.time.Instant.now",
            "java.time.LocalDate.now",
            "java.time.LocalTime.now",
            "java.time.LocalDateTime.now",
            "java.time.OffsetDateTime.now",
            "java.time.ZonedDateTime.now",
            "java.time.InstantSource.system",
            "java.util.concurrent.locks.LockSupport.parkUntil",
            "java.util.concurrent.locks.Condition.awaitUntil");
    private static final Set<String> READING_CONSTRUCTORS =
            Set.of("java.util.Date", "java.util.Timer", "java.util.GregorianCalendar");

    @Test
    void onlyListedClassesReadTheWallClock() {
        Map<String, String> found = new TreeMap<>();
        new ClassFileImporter()
                .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS).importPackages("sandpaddle").stream()
                        .filter(type -> type.getAccessesFromSelf().stream().anyMatch(WallClockUseTest::readsWallClock))
                        .map(WallClockUseTest::topLevelName)
                        .forEach(name -> found.put(name, READERS.getOrDefault(name, "not listed")));
        assertEquals(new TreeMap<>(READERS), found);
    }

    private static boolean readsWallClock(JavaAccess<?> access) {
        String owner = access.getTargetOwner().getName();
        return READING_METHODS.contains(owner + "." + access.getName())
                || access.getName().equals("<init>") && READING_CONSTRUCTORS.contains(owner);
    }

    private static String topLevelName(JavaClass type) {
        String name = type.getName().substring("sandpaddle.".length());
        int nested = name.indexOf('$');
        return nested < 0 ? name : name.substring(0, nested);
    }
}
