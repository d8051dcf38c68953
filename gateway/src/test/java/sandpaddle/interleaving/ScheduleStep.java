package sandpaddle.interleaving;

/**
 * One step of a schedule.
 *
 * @param event what happens
 * @param placement when it happens relative to the turns of the event loop
 */
record ScheduleStep(Event event, Placement placement) {
    /** Position of an event relative to the turns of the event loop. */
    enum Placement {
        /** Before a turn of its own. */
        BEFORE_TURN,
        /** During a turn: after the ready events were handled, before the dispatcher processes them. */
        DURING_TURN,
        /** Before the same turn as the next event. */
        WITH_NEXT
    }

    boolean isEnabled(ScriptedPeers peers) {
        return (placement != Placement.DURING_TURN || event.canOccurDuringTurn()) && event.isEnabled(peers);
    }

    @Override
    public String toString() {
        return placement == Placement.BEFORE_TURN ? event.name() : event + "/" + placement;
    }
}
