package sandpaddle.fleet.node.lead;

import java.util.Optional;
import org.tinylog.Logger;
import sandpaddle.fleet.node.agree.FleetConfig;
import sandpaddle.fleet.state.machine.VersionedDocuments;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;

/**
 * The configuration that the voters committed, and the newest one that any gateway offered. A committed text that this
 * version cannot parse is logged once, and the previous configuration stays in force on this gateway, so that quotas
 * are allocated by the last configuration that both versions can parse. Owned by the fleet's thread.
 */
public final class CommittedConfig {
    private FleetConfig committed = FleetConfig.NONE;
    private long epoch; // of the document that was parsed last
    private String newestOfferedText = ""; // text with the highest version
    private long newestOfferedVersion;

    /** Parses the committed document if it has changed. Returns whether another configuration is in force now. */
    boolean refresh(Optional<VersionedDocuments.VersionedDocument> document) {
        if (document.isEmpty() || document.get().epoch() == epoch) {
            return false;
        }
        epoch = document.get().epoch();
        try {
            committed = FleetConfig.parse(document.get().text());
            return true;
        } catch (FaultyMessageException e) {
            Logger.error(
                    "fleet: cannot parse the committed configuration of epoch {}; version {} stays in force: {}",
                    epoch,
                    committed.version(),
                    e.getMessage());
            return false;
        }
    }

    /** Receives the encoded configuration of a gateway's file; it is proposed if its version is the highest. */
    public void offer(String text) {
        try {
            FleetConfig offered = FleetConfig.parse(text);
            if (offered.version() > newestOfferedVersion) {
                newestOfferedVersion = offered.version();
                newestOfferedText = text;
            }
        } catch (FaultyMessageException e) {
            Logger.warn("fleet: cannot parse an offered configuration: {}", e.getMessage());
        }
    }

    /** The command that replaces the committed configuration, if a newer one was offered. */
    Optional<byte[]> toPropose() {
        return newestOfferedVersion > committed.version()
                ? Optional.of(VersionedDocuments.putCommand(FleetConfig.DOCUMENT_NAME, epoch, newestOfferedText))
                : Optional.empty();
    }

    /** The configuration in force. */
    public FleetConfig current() {
        return committed;
    }
}
