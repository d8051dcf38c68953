package sandpaddle.mysql;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.testng.annotations.Test;

/** {@link Login}: passwords in all encodings, and truncated logins. */
public class LoginTest {
    private static byte[] login(int capabilities, String afterHeader) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(new byte[] {
            (byte) capabilities, (byte) (capabilities >> 8), (byte) (capabilities >> 16), 0, 0, 0, 0, 1, 45
        });
        out.writeBytes(new byte[23]);
        out.writeBytes(afterHeader.getBytes(StandardCharsets.ISO_8859_1));
        return out.toByteArray();
    }

    @Test
    public void readsEveryEncodingOfAnEmptyPassword() throws Exception {
        Login expected = new Login("app", true, "core");
        assertEquals(Login.parse(login(0x8208, "app\0\0core\0")), expected);
        assertEquals(Login.parse(login(0x8208, "app\0\1\0core\0plugin\0")), expected);
        assertEquals(Login.parse(login(0x208, "app\0\0core\0")), expected);
        assertEquals(Login.parse(login(0x8200, "app\0\0")), new Login("app", true, ""));
        assertEquals(Login.parse(login(0x8208, "app\0\3abccore\0")), new Login("app", false, "core"));
    }

    /** A length-encoded integer has four forms, and a client may use a longer one than necessary. */
    @Test
    public void readsLengthEncodedPasswordInAllFourForms() throws Exception {
        for (String length : new String[] {"\0", "\374\0\0", "\375\0\0\0", "\376\0\0\0\0\0\0\0\0"}) {
            assertEquals(Login.parse(login(0x200208, "app\0" + length + "core\0")), new Login("app", true, "core"));
            String lengthOfThree = length.equals("\0") ? "\3" : length.charAt(0) + "\3" + length.substring(2);
            assertEquals(
                    Login.parse(login(0x208208, "app\0" + lengthOfThree + "abccore\0")),
                    new Login("app", false, "core"));
        }
        // Without the capability the length is one byte, and 0xFC is not a marker.
        String passwordOf252 = "\374" + "x".repeat(252);
        assertEquals(Login.parse(login(0x8208, "app\0" + passwordOf252 + "core\0")), new Login("app", false, "core"));
        for (String invalid : new String[] {"\373", "\377", "\374\1", "\376\1\0\0\0\0\0\0\200", "\375\377\377\377"}) {
            assertThrows(ProtocolException.class, () -> Login.parse(login(0x200200, "app\0" + invalid)));
        }
    }

    /** A login that is truncated at any offset is a protocol error; no other exception may reach the event loop. */
    @Test
    public void rejectsTruncatedLogin() {
        byte[] complete = login(0x8208, "app\0\24" + "x".repeat(20) + "core\0");
        int accepted = 0;
        for (int length = 0; length < complete.length; length++) {
            byte[] truncated = Arrays.copyOf(complete, length);
            try {
                assertTrue(!Login.parse(truncated).user().isEmpty());
                accepted++;
            } catch (ProtocolException e) {
                assertTrue(e.error == SqlError.ER_HANDSHAKE_ERROR);
            }
        }
        // A login without a password and one with a truncated database name are valid.
        assertTrue(accepted <= 10, "accepted truncated logins: " + accepted);
        assertThrows(ProtocolException.class, () -> Login.parse(login(0x8208, "app\0\1")));
    }
}
