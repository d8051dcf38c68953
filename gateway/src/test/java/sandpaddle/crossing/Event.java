package sandpaddle.crossing;

import java.util.function.Predicate;

/** What may happen in a play: the alphabet, each letter with when it can happen and whether it can within a turn. */
enum Event {
    HEAD(true, p -> !p.hasGone() && p.said() == 0, p -> p.say(30)),
    REST(true, p -> !p.hasGone() && p.said() < p.request(), p -> p.say(p.request() - p.said())),
    HALF_CLOSE(true, p -> p.said() > 0 && !p.hasGone(), p -> p.go(Caller::shut)),
    CLOSE(true, p -> p.said() > 0 && !p.hasGone(), p -> p.go(Caller::hangUp)),
    RESET(true, p -> p.said() > 0 && !p.hasGone(), p -> p.go(Caller::tear)),
    KILL(false, p -> p.hasAsked() && !p.hasGone() && !p.hasKilled() && p.isListening(), Actors::kill),
    TICK(false, p -> p.said() > 0, p -> p.pass(Actors.TICK_MS)),
    PATIENCE(false, p -> p.leftMs() > 0, p -> p.pass(p.leftMs() + 1)),
    END(true, p -> !p.isEnding(), Actors::end),
    GRACE(false, p -> p.isEnding() && p.isListening(), p -> p.pass(Actors.GRACE_MS)),
    DRAIN(true, p -> p.health().equals("Ready"), p -> p.list("Terminating")),
    GONE(true, p -> !p.health().equals("Gone"), p -> p.list("Gone")),
    ROWS(false, Actors::hasOpenCall, p -> p.answer("ROWS", Worker.ROWS)),
    NEWS(false, Actors::hasOpenCall, p -> p.answer("NEWS", Worker.NOT_YET)),
    ERROR(false, Actors::hasOpenCall, p -> p.answer("ERROR", Worker.FAILED)),
    DECLINED(false, Actors::hasOpenCall, p -> p.answer("DECLINED", Worker.DECLINED)),
    COPY(false, Actors::hasAnswered, Actors::copy),
    ENGINE_CLOSES(false, Actors::isEngineConnected, p -> p.endEngine(false)),
    ENGINE_RESETS(false, Actors::isEngineConnected, p -> p.endEngine(true)),
    THREE_RESETS(false, p -> !p.isResetting(), p -> p.resetInARow(3)),
    DELETES_LOST(false, p -> !p.isLosingDeletes(), p -> p.loseDeletes(2));

    private interface Act {
        void on(Actors actors) throws Exception;
    }

    private final boolean within;
    private final Predicate<Actors> enabled;
    private final Act act;

    Event(boolean within, Predicate<Actors> enabled, Act act) {
        this.within = within;
        this.enabled = enabled;
        this.act = act;
    }

    /** Whether the gateway could notice it within a turn, after what was ready has been heard. */
    boolean isWithin() {
        return within;
    }

    boolean isEnabled(Actors p) {
        return enabled.test(p);
    }

    void take(Actors p) {
        try {
            act.on(p);
        } catch (Exception e) {
            throw new AssertionError(this + " failed", e);
        }
    }
}
