package sandpaddle.fleet.limit.allot;

import sandpaddle.fleet.limit.table.SlotName;

/** What a slot of a gateway that is heard asks for; {@code demand} is evened out over a second or two. */
public record SlotDemand(SlotName slot, double demand) { }
