package sandpaddle.fleet.node.lead;

import java.util.Optional;
import org.tinylog.Logger;
import sandpaddle.fleet.node.agree.FleetConfig;
import sandpaddle.fleet.state.machine.VersionedDocuments;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;

/**
 * The configuration that the voters committed, and the newest one that any gateway offered. A text that this version
 * cannot read is logged once; the one before stays in force here, so quotas are moved by what both know.
 */
public final class CommittedConfig {
    private FleetConfig agreed = FleetConfig.NONE;
    private long epoch; // of the text read last
    private String newest = ""; // the text of the highest version offered by any gateway
    private long newestVersion;

    /** The text that the voters agreed on, as of now; whether another one rules. */
    boolean read(Optional<VersionedDocuments.VersionedDocument> text) {
        if (text.isEmpty() || text.get().epoch() == epoch) {
            return false;
        }
        epoch = text.get().epoch();
        try {
            agreed = FleetConfig.parse(text.get().text());
            return true;
        } catch (FaultyMessageException e) {
            Logger.error(
                    "fleet: what was agreed under epoch {} cannot be read here, version {} goes on: {}",
                    epoch,
                    agreed.version(),
                    e.getMessage());
            return false;
        }
    }

    /** A gateway offers its file's text. */
    public void offer(String text) {
        try {
            FleetConfig offered = FleetConfig.parse(text);
            if (offered.version() > newestVersion) {
                newestVersion = offered.version();
                newest = text;
            }
        } catch (FaultyMessageException e) {
            Logger.warn("fleet: a file that was offered cannot be read: {}", e.getMessage());
        }
    }

    /** The command that has a newer version ruled, if one is known. */
    Optional<byte[]> toPropose() {
        return newestVersion > agreed.version()
                ? Optional.of(VersionedDocuments.putCommand(FleetConfig.NAME, epoch, newest))
                : Optional.empty();
    }

    /** What rules. */
    public FleetConfig agreed() {
        return agreed;
    }
}
