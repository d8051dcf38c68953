package sandpaddle.lab;

/** A gateway of the fleet under test with its feed and ports, whether or not its process runs. */
final class GatewayInstance {
    final FleetFiles.Member member;
    final int index;
    final int port;
    final StandInFeed feed;
    volatile FleetProcess process; // null while not running
    int startCount;

    GatewayInstance(FleetFiles.Member member, int index, int port, StandInFeed feed) {
        this.member = member;
        this.index = index;
        this.port = port;
        this.feed = feed;
    }

    String name() {
        return member.name();
    }

    /** Kills the process, if any, when the run is interrupted. */
    void killIfRunning() {
        FleetProcess p = process;
        if (p != null) {
            p.kill();
        }
    }
}
