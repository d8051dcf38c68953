package sandpaddle.decision.event;

import java.util.List;

/**
 * A poll of the engine list (the platform's endpoint list) ended, or a watch event arrived.
 *
 * @param kind how {@code entries} relate to the engines already known
 * @param entries the engines; empty where the poll failed
 */
public record EngineListReceived(EngineListKind kind, List<EngineEntry> entries) implements Event {}
