package sandpaddle.interleaving;

import static org.testng.Assert.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Complete exchanges, each sent before the greeting was read: at once, split after each byte in turn, and byte by byte.
 * The answers are the same for each split, and the engine receives each statement unchanged.
 */
public class SplitExchangesTest {
    private static final int PROTOCOL_41 = 0x200;
    private static final int CONNECT_WITH_DB = 0x8;
    private static final int SECURE_CONNECTION = 0x8000;
    private static final int LENGTH_ENCODED_AUTH = 0x200000;
    private static final int PLUGIN_AUTH = 0x80000;
    private static final Duration QUIET_PERIOD = Duration.ofMillis(60); // after which an engine connection is reused
    private static final String STATEMENT = "SELECT 1";

    private final byte[] ping = ScriptedClient.packet(0, new byte[] {14});

    private static byte[] login(int capabilities, String rest) {
        byte[] fixed = new byte[32];
        for (int i = 0; i < 4; i++) {
            fixed[i] = (byte) (capabilities >>> 8 * i);
        }
        return ScriptedClient.packet(1, ScriptedClient.concat(fixed, rest.getBytes(StandardCharsets.ISO_8859_1)));
    }

    private static byte[] query(String fields) {
        return ScriptedClient.query(fields + STATEMENT);
    }

    private static byte[] usualQuery(int trace) {
        return query("/* route=once,trace=%016x,patience=5000,weight=20.0,est_mb=8 */ ".formatted(trace));
    }

    private static byte[] all(byte[]... packets) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] packet : packets) {
            all.writeBytes(packet);
        }
        return all.toByteArray();
    }

    /** Name, bytes of the client, and answers after the one to the login. */
    @DataProvider
    public Object[][] exchanges() {
        byte[] usualQuery = usualQuery(1);
        int lengthEncoded = PROTOCOL_41 | CONNECT_WITH_DB | SECURE_CONNECTION | LENGTH_ENCODED_AUTH;
        return new Object[][] {
            {"login with a database, PING, query", all(ScriptedClient.login(), ping, usualQuery), List.of("ok", "rows")
            },
            {
                "password length in one byte",
                all(login(lengthEncoded | PLUGIN_AUTH, "app\0\0core\0plugin\0"), usualQuery),
                List.of("rows")
            },
            {
                "password length in two bytes",
                all(login(lengthEncoded, "app\0\374\0\0core\0"), usualQuery),
                List.of("rows")
            },
            {
                "password length in three bytes",
                all(login(lengthEncoded, "app\0\375\0\0\0core\0"), usualQuery),
                List.of("rows")
            },
            {
                "password length in eight bytes",
                all(login(lengthEncoded, "app\0\376\0\0\0\0\0\0\0\0core\0"), usualQuery),
                List.of("rows")
            },
            {
                "zero-terminated password",
                all(login(PROTOCOL_41 | CONNECT_WITH_DB, "app\0\0core\0"), usualQuery),
                List.of("rows")
            },
            {
                "database selected by a command",
                all(
                        login(PROTOCOL_41 | SECURE_CONNECTION, "app\0\0"),
                        ScriptedClient.packet(0, "\2core".getBytes(StandardCharsets.US_ASCII)),
                        usualQuery),
                List.of("ok", "rows")
            },
            {
                "many pipelined commands",
                all(ScriptedClient.login(), usualQuery, ping, usualQuery(2), usualQuery(3), ping),
                List.of("rows", "ok", "rows", "rows", "ok")
            },
            {
                "fields in another order, with white space and unknown fields",
                all(
                        ScriptedClient.login(),
                        query("\n /*\t"
                                + "est_mb = 8 ,colour=red, patience\n=5000.0,flag,=x, route = once ,"
                                + " trace= 00000000000000a1,*/\r\n")),
                List.of("rows")
            },
            {
                "no white space",
                all(ScriptedClient.login(), query("/*patience=5e3,weight=.5,route=once,trace=00000000000000a1*/")),
                List.of("rows")
            },
            {
                "statements that drivers send by themselves",
                all(
                        ScriptedClient.login(),
                        ScriptedClient.query("SET NAMES utf8"),
                        ScriptedClient.query("/* tidy */ KILL QUERY 9999"),
                        ScriptedClient.query("SHOW WARNINGS"),
                        usualQuery),
                List.of("ok", "1094", "rows", "rows")
            },
        };
    }

    /** The answers to one exchange. Clients share one gateway in turn, so that thousands of exchanges run fast. */
    private static List<String> answers(GatewayFixture gateway, List<byte[]> pieces, int expectedCount)
            throws IOException {
        gateway.clock.advance(QUIET_PERIOD);
        ScriptedClient client = gateway.connectClient();
        for (byte[] piece : pieces) {
            client.send(piece);
            gateway.runTurnWithoutWaiting();
        }
        gateway.runUntil(() -> {
            if (gateway.engine.callCount("POST") > 0) {
                assertEquals(gateway.engine.lastBody(), STATEMENT);
                answer(gateway);
            }
            gateway.clock.advance(Duration.ofMillis(1)); // so that timers expire
            return client.isEnded()
                    || client.packets().size() >= 2 && client.answers().size() >= expectedCount;
        });
        List<String> answers = client.answers();
        gateway.resetClient(client);
        return answers;
    }

    private static void answer(GatewayFixture gateway) {
        try {
            gateway.engine.respond("POST", ScriptedEngine.ROWS);
            for (int i = 0; i < 3; i++) {
                gateway.runTurnWithoutWaiting(); // the gateway reads the response
            }
            gateway.clock.advance(QUIET_PERIOD);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    @Test(dataProvider = "exchanges")
    public void answersDoNotDependOnHowAnExchangeIsSplit(String name, byte[] bytes, List<String> answers)
            throws Exception {
        try (GatewayFixture gateway = new GatewayFixture()) {
            gateway.updateEndpointList("Ready");
            assertEquals(answers(gateway, List.of(bytes), answers.size()), answers, "sent at once");
            for (int split = 1; split < bytes.length; split++) {
                List<byte[]> halves =
                        List.of(Arrays.copyOf(bytes, split), Arrays.copyOfRange(bytes, split, bytes.length));
                assertEquals(answers(gateway, halves, answers.size()), answers, "split after byte " + split);
            }
            List<byte[]> single = new ArrayList<>();
            for (byte b : bytes) {
                single.add(new byte[] {b});
            }
            assertEquals(answers(gateway, single, answers.size()), answers, "one byte at a time");
        }
    }
}
