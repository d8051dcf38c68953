package sandpaddle.fleet.view;

/**
 * State shared by the event loop and the fleet's thread.
 *
 * @param views the view, written by the fleet's thread
 * @param usages the usage of each slot, written by the event loop
 * @param connections the open connections, written by the event loop
 */
public record SharedState(Publication<FleetView> views, Publication<SlotUsage> usages, OpenConnections connections) {

    /** State before the first grant and the first query. */
    public static SharedState create() {
        return new SharedState(
                new Publication<>(FleetView.EMPTY), new Publication<>(new SlotUsage(0, 0)), new OpenConnections());
    }
}
