package sandpaddle.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import sandpaddle.fleet.FleetSettings;
import sandpaddle.overload.OverloadSettings;

/**
 * The operator's file: settings beyond the platform's configuration, as JSON that {@code sandpaddle.schema.json}
 * describes. Without the file every feature that it names is off.
 *
 * @param log section {@code log}
 * @param overload section {@code storm}
 * @param fleet section {@code fleet}; empty if the file lacks it, and then none of the fleet's classes is loaded
 */
public record OperatorFile(LogSettings log, OverloadSettings overload, Optional<FleetSettings> fleet) {
    /** File name of the schema, beside the operator's file and in the jar. */
    public static final String SCHEMA = "sandpaddle.schema.json";

    /** The settings without a file: everything is off. */
    public static final OperatorFile NONE =
            new OperatorFile(LogSettings.DEFAULT, OverloadSettings.OFF, Optional.empty());

    /** A file that cannot be used, with all errors in it. */
    public static final class InvalidFileException extends Exception {
        private static final long serialVersionUID = 1;
        private final transient ValidationErrors errors;

        InvalidFileException(ValidationErrors errors) {
            super(String.join("\n", errors.messages()));
            this.errors = errors;
        }

        /** All errors of the file. */
        public ValidationErrors errors() {
            return errors;
        }
    }

    /** Reads a file; the exception holds every error in it. */
    public static OperatorFile load(Path file) throws InvalidFileException {
        ValidationErrors errors = new ValidationErrors(file.toString());
        try {
            return parse(Files.readAllBytes(file), errors);
        } catch (IOException e) {
            errors.add(1, 1, "", e.toString(), "a file that can be read");
            throw new InvalidFileException(errors);
        }
    }

    /**
     * Reads a text. Adds its errors to {@code errors}, and throws if there are any: a file is applied completely or not
     * at all.
     */
    public static OperatorFile parse(byte[] text, ValidationErrors errors) throws InvalidFileException {
        LocatedJson json = LocatedJson.parse(text, errors);
        OperatorFile file = json == null ? NONE : parse(SectionReader.of(json, errors));
        if (!errors.isEmpty()) {
            throw new InvalidFileException(errors);
        }
        return file;
    }

    private static OperatorFile parse(SectionReader section) {
        section.ignoreString("$schema");
        OperatorFile file = new OperatorFile(
                LogSettings.read(section.section("log")),
                OverloadSettingsReader.read(section.section("storm")),
                section.has("fleet")
                        ? Optional.of(FleetSettingsReader.read(section.section("fleet")))
                        : Optional.empty());
        section.rejectUnknownKeys();
        return file;
    }
}
