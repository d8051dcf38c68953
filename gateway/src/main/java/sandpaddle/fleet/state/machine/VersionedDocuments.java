package sandpaddle.fleet.state.machine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import sandpaddle.fleet.state.SnapshotException;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;
import sandpaddle.fleet.wire.CborOut;

/**
 * Versioned documents of the whole fleet, such as the limits and the pool policy: for each name the one with the
 * highest epoch is in force. A writer states which epoch it replaces, so that of two concurrent writers one is refused
 * and reads again (compare and set). Documents are not parsed here: a gateway that cannot parse one logs it and
 * continues with the previous one. Deterministic; applied on the consensus thread. Bounds: {@value
 * #MAX_NAMES} names, {@value #MAX_TEXT_BYTES} bytes each.
 */
public final class VersionedDocuments implements FleetStateMachine.ReturnsCommandResult {
    /** Tag of this part's commands in the log. */
    public static final byte TAG = 2;
    /** Max number of documents. */
    public static final int MAX_NAMES = 16;
    /** Max size of one document (bytes of UTF-8). */
    public static final int MAX_TEXT_BYTES = 256 << 10;

    private static final int MAX_NAME_BYTES = 64;

    /**
     * A document.
     *
     * @param epoch starts at 1 and is incremented with each change
     * @param text the content
     */
    public record VersionedDocument(long epoch, String text) {}

    private final TreeMap<String, VersionedDocument> documents = new TreeMap<>();

    /**
     * Encodes the replacement of a document; refused if the current epoch is another.
     *
     * @param name name of the document
     * @param replaces epoch of the document that is replaced; 0 for the first of its name
     * @param text the new content
     */
    public static byte[] putCommand(String name, long replaces, String text) {
        return new CborOut().text(name).number(replaces).text(text).done();
    }

    /** The document of this name that is in force. */
    public Optional<VersionedDocument> document(String name) {
        return Optional.ofNullable(documents.get(name));
    }

    /** The names of all documents. */
    public Set<String> names() {
        return Set.copyOf(documents.keySet());
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        try {
            CborIn in = new CborIn(command);
            String name = in.text(MAX_NAME_BYTES);
            long replaces = in.number(0, Long.MAX_VALUE - 1);
            String text = in.text(MAX_TEXT_BYTES);
            in.end();
            long epoch = document(name).map(VersionedDocument::epoch).orElse(0L);
            if (epoch != replaces) {
                return CommandResult.refused("the text " + name + " has epoch " + epoch + " now, not " + replaces);
            }
            if (epoch == 0 && documents.size() >= MAX_NAMES) {
                return CommandResult.refused("there are " + MAX_NAMES + " texts already");
            }
            documents.put(name, new VersionedDocument(epoch + 1, text));
            return CommandResult.accepted(new CborOut().number(epoch + 1).done());
        } catch (FaultyMessageException e) {
            return CommandResult.refused("malformed document command: " + e.getMessage());
        }
    }

    @Override
    public byte[] snapshot() {
        return new CborOut()
                .list(
                        documents.entrySet(),
                        (out, entry) -> out.text(entry.getKey())
                                .number(entry.getValue().epoch())
                                .text(entry.getValue().text()))
                .done();
    }

    private record NamedDocument(String name, VersionedDocument document) {}

    @Override
    public void install(byte[] snapshot) {
        try {
            CborIn in = new CborIn(snapshot);
            List<NamedDocument> restored = new ArrayList<>(in.list(
                    MAX_NAMES,
                    item -> new NamedDocument(
                            item.text(MAX_NAME_BYTES),
                            new VersionedDocument(item.number(1, Long.MAX_VALUE), item.text(MAX_TEXT_BYTES)))));
            in.end();
            documents.clear();
            restored.forEach(named -> documents.put(named.name(), named.document()));
        } catch (FaultyMessageException e) {
            throw new SnapshotException("malformed snapshot of the documents: " + e.getMessage(), e);
        }
    }
}
