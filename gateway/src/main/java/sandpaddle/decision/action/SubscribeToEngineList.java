package sandpaddle.decision.action;

/** Subscribes to changes of the engine list. */
public record SubscribeToEngineList() implements Action {}
