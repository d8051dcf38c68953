package sandpaddle.fleet.verdict.judge;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import sandpaddle.fleet.verdict.VerdictSettings;
import sandpaddle.fleet.verdict.judge.EngineVotes.Accusation;

/**
 * Selects the engines to eject among those at fault: those with the strongest evidence, at most {@code
 * maxEjectedFraction} of the listed engines (at least one of two or more). The others at fault are exempted.
 *
 * <p>Flap damping: if an engine is found at fault again within {@code flapWindowUs}, the verdict outlives its evidence
 * by {@code flapHoldUs}, doubled with each further time, but never outlives the lease of its last evidence.
 *
 * <p>Memory: a few numbers for each listed engine.
 */
final class EjectedEngines {
    private static final int MAX_DOUBLINGS = 10;

    private static final class EngineState {
        Accusation accusation;
        long evidenceEndedUs = Long.MIN_VALUE; // MIN_VALUE: the evidence still holds
        long faultEndedUs = Long.MIN_VALUE / 2;
        int flapCount;
        boolean isAtFault; // ejected or exempted
        boolean isEjected; // within the maximum fraction
    }

    private final VerdictSettings settings;
    private final Set<VerdictGuard> guards;
    private final Map<String, EngineState> states = new TreeMap<>();

    EjectedEngines(VerdictSettings settings, Set<VerdictGuard> guards) {
        this.settings = settings;
        this.guards = guards;
    }

    /** Discards the history of an engine, after its restart. */
    void forget(String engine) {
        states.remove(engine);
    }

    /** Discards the history of all engines except the given ones. */
    void retain(Set<String> engines) {
        states.keySet().retainAll(engines);
    }

    /**
     * Updates the state of an engine.
     *
     * @param nowUs current time
     * @param engine name of the engine
     * @param accusation fault that the evidence shows, or null
     */
    void update(long nowUs, String engine, Accusation accusation) {
        EngineState state =
                accusation == null ? states.get(engine) : states.computeIfAbsent(engine, key -> new EngineState());
        if (state == null) {
            return;
        }
        if (accusation != null) {
            if (!state.isAtFault) {
                state.flapCount = nowUs - state.faultEndedUs < settings.flapWindowUs()
                        ? Math.min(MAX_DOUBLINGS, state.flapCount + 1)
                        : 0;
                state.isAtFault = true;
            }
            state.accusation = accusation;
            state.evidenceEndedUs = Long.MIN_VALUE;
        } else if (state.isAtFault) {
            state.evidenceEndedUs = state.evidenceEndedUs == Long.MIN_VALUE ? nowUs : state.evidenceEndedUs;
            if (nowUs >= untilUs(state)) {
                state.isAtFault = false;
                state.isEjected = false;
                state.faultEndedUs = nowUs;
            }
        } else if (nowUs - state.faultEndedUs >= settings.flapWindowUs()) {
            states.remove(engine);
        }
    }

    /** Returns whether the engine is at fault, that is, ejected or exempted. */
    boolean isAtFault(String engine) {
        EngineState state = states.get(engine);
        return state != null && state.isAtFault;
    }

    private long untilUs(EngineState state) {
        long leaseEndUs = state.accusation.observedAtUs() + settings.evidenceLeaseUs();
        if (state.evidenceEndedUs == Long.MIN_VALUE) {
            return leaseEndUs;
        }
        boolean isHeld = state.flapCount > 0 && guards.contains(VerdictGuard.FLAP_DAMPING);
        return Math.min(
                leaseEndUs, state.evidenceEndedUs + (isHeld ? settings.flapHoldUs() << (state.flapCount - 1) : 0));
    }

    /** Returns when the verdict on an engine at fault ends unless new evidence arrives. */
    long untilUs(String engine) {
        return untilUs(states.get(engine));
    }

    /** Returns the latest accusation of an engine at fault. */
    Accusation accusation(String engine) {
        return states.get(engine).accusation;
    }

    /** Splits the engines at fault into the ejected and the exempted ones, both ordered by name. */
    void selectEjected(int engineCount, List<String> ejected, List<String> exempted) {
        int maxByFraction = (int) Math.floor(engineCount * settings.maxEjectedFraction());
        int max = guards.contains(VerdictGuard.MAX_EJECTED_FRACTION)
                ? Math.max(maxByFraction, engineCount >= 2 ? 1 : 0)
                : engineCount;
        List<String> atFault = new ArrayList<>();
        states.forEach((engine, state) -> {
            if (state.isAtFault) {
                atFault.add(engine);
            }
        });
        atFault.sort(Comparator.<String>comparingInt(
                        engine -> -accusation(engine).reporters())
                .thenComparingInt(engine -> states.get(engine).isEjected ? 0 : 1) // a tie keeps an engine ejected
                .thenComparingInt(engine -> -accusation(engine).strength())
                .thenComparingLong(engine -> accusation(engine).sinceUs())
                .thenComparing(engine -> engine));
        Set<String> selected = new TreeSet<>(atFault.subList(0, Math.min(max, atFault.size())));
        states.forEach((engine, state) -> {
            state.isEjected = selected.contains(engine);
            if (state.isAtFault) {
                (state.isEjected ? ejected : exempted).add(engine);
            }
        });
    }
}
