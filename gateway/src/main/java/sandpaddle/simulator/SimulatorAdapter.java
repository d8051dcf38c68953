package sandpaddle.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.util.MinimalPrettyPrinter;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sandpaddle.config.DecisionSettingsReader;
import sandpaddle.config.InvalidFieldException;
import sandpaddle.config.JsonObject;
import sandpaddle.decision.DecisionModule;
import sandpaddle.decision.DefaultDecisionModule;
import sandpaddle.decision.action.Action;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.Event;

/**
 * Connects instances of {@link DecisionModule}, one per simulated gateway, to the simulator's protocol: one line of
 * JSON per event on the input and per action on the output, in batches with one virtual time each. The adapter only
 * translates; the module makes all decisions. Single-threaded; its memory is bounded by the number of gateways and
 * endpoint lists that the simulator declares.
 */
public final class SimulatorAdapter {
    /** Event name in error messages about a line whose event is unknown. */
    private static final String NO_EVENT = "-";

    private final JsonParser input;
    private final SimulatorActionWriter output;
    private final Map<String, DecisionModule> modules = new HashMap<>(); // by name of the gateway
    private final Map<Long, List<EngineEntry>> declaredLists = new HashMap<>(); // by id of the list
    private final Set<String> printedWarnings = new HashSet<>();
    private long nowUs;
    private long batch;
    private String eventName = NO_EVENT;

    /** Creates an adapter that reads events from {@code input} and writes actions to {@code output}; closes neither. */
    public SimulatorAdapter(InputStream input, OutputStream output) throws IOException {
        JsonFactory factory = new JsonFactory();
        this.input = factory.createParser(input);
        JsonGenerator generator = factory.createGenerator(output);
        generator.setPrettyPrinter(new MinimalPrettyPrinter("\n"));
        this.output = new SimulatorActionWriter(generator);
    }

    /**
     * Handles events until the end of the input.
     *
     * @throws SimulatorProtocolException if a line cannot be handled
     */
    public void run() throws IOException, SimulatorProtocolException {
        try {
            JsonToken token = input.nextToken();
            while (token != null) {
                handleLine(token);
                token = input.nextToken();
            }
        } catch (JsonProcessingException e) {
            throw error("malformed JSON");
        }
    }

    private SimulatorProtocolException error(String problem) {
        int line = input.currentLocation().getLineNr();
        return new SimulatorProtocolException("line " + line + ", event '" + eventName + "': " + problem);
    }

    private void handleLine(JsonToken token) throws IOException, SimulatorProtocolException {
        eventName = NO_EVENT;
        if (token != JsonToken.START_OBJECT || input.nextToken() != JsonToken.FIELD_NAME) {
            throw error("expected an object with one key");
        }
        eventName = input.currentName();
        if (input.nextToken() != JsonToken.START_OBJECT) {
            throw error("expected an object of fields");
        }
        JsonObject fields = JsonObject.read(input, "");
        if (input.nextToken() != JsonToken.END_OBJECT) {
            throw error("expected one key");
        }
        try {
            handleEvent(fields);
        } catch (InvalidFieldException e) {
            throw error(e.getMessage());
        }
    }

    private void handleEvent(JsonObject fields) throws IOException, SimulatorProtocolException, InvalidFieldException {
        switch (eventName) {
            case "sync" -> startBatch(fields);
            case "end" -> output.endBatch(batch);
            case "pool" -> declaredLists.put(fields.integer("set_id"), SimulatorEventReader.readEngineEntries(fields));
            case "configure" -> startGateway(fields);
            case "memo" -> module(fields); // message from another gateway: ignored, as none are needed
            case "teardown" -> stopGateway(fields);
            case "endpoints" -> handle(SimulatorEventReader.readEngineList(fields, declaredLists), fields);
            default -> {
                Event event = SimulatorEventReader.read(eventName, fields);
                if (event == null) {
                    throw error("unknown event");
                }
                handle(event, fields);
            }
        }
    }

    private void startBatch(JsonObject fields) throws InvalidFieldException {
        nowUs = fields.integer("ts_us");
        batch = fields.integer("batch");
    }

    private void startGateway(JsonObject fields) throws SimulatorProtocolException, InvalidFieldException {
        long seed = fields.integer("seed");
        List<String> warnings = new ArrayList<>();
        try {
            String gateway = fields.string("who");
            JsonObject settings = fields.object("boot_info");
            modules.put(gateway, new DefaultDecisionModule(DecisionSettingsReader.read(settings, warnings), seed));
        } catch (IllegalArgumentException e) {
            throw error(e.getMessage());
        }
        warnings.stream() // all gateways have the same settings, so each warning is printed once
                .filter(printedWarnings::add)
                .forEach(warning -> System.err.println("sandpaddle: " + warning));
    }

    private void stopGateway(JsonObject fields) throws SimulatorProtocolException, InvalidFieldException {
        module(fields);
        modules.remove(fields.string("who"));
    }

    private DecisionModule module(JsonObject fields) throws SimulatorProtocolException, InvalidFieldException {
        DecisionModule module = modules.get(fields.string("who"));
        if (module == null) {
            throw error("unknown instance '" + fields.string("who") + "'");
        }
        return module;
    }

    private void handle(Event event, JsonObject fields) throws SimulatorProtocolException, InvalidFieldException {
        String gateway = fields.string("who");
        DecisionModule module = module(fields);
        try {
            module.handle(nowUs, event, action -> write(gateway, action));
        } catch (RuntimeException e) {
            throw error("cannot be handled: " + e);
        }
    }

    private void write(String gateway, Action action) {
        try {
            output.write(gateway, action);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
