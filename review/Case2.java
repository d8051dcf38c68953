import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** A bad client sends commands and behind them a body of 60 MB, and the same again when it is turned away. */
final class Case2 {
    private static final int BODY_BYTES = 60 * 1024 * 1024;
    private static final int COMMANDS = 50; // ahead of the body, at once
    private static final int TRIES = 60; // one after the other, one connection each
    private static final int CHUNK = 1 << 20;

    private Case2() {}

    public static void main(String[] args) {
        Stand.main(args, List.of("s-a", "s-b", "s-c"), (gateway, engines, links) -> {
            long begin = Stand.now();
            List<Stand.Request> sent = new ArrayList<>();
            List<Thread> clients = new ArrayList<>();
            clients.addAll(Stand.clients(gateway, 10, "lookup", 7500, 200, begin + 20_000, sent));
            clients.addAll(Stand.clients(gateway, 2, "load", 20_000, 1500, begin + 20_000, sent));
            Stand.sleepUntil(begin + 3000);
            if (Stand.TROUBLE) {
                for (int i = 1; i <= TRIES && gateway.process.isAlive() && Stand.now() < begin + 18_000; i++) {
                    flood(gateway, i);
                }
            }
            for (Thread client : clients) {
                client.join(60_000);
            }
            long answered = sent.stream().filter(request -> request.answer != null).count();
            Stand.say(sent.size() + " requests of usual clients, " + answered + " answered");
            List<String> broken = new ArrayList<>();
            if (!gateway.process.isAlive()) {
                broken.add("crash: the gateway has exited with " + gateway.process.exitValue());
            }
            broken.addAll(Stand.lost(sent));
            return broken;
        });
    }

    private static void flood(Stand.Gateway gateway, int number) {
        try (Stand.Client bad = new Stand.Client(gateway.port, 3000)) {
            byte[] kill = Stand.Client.command("KILL QUERY " + bad.connectionId);
            byte[] bytes = new byte[COMMANDS * kill.length + BODY_BYTES];
            Arrays.fill(bytes, (byte) 0xFF); // the header of the body names 16,777,215 bytes
            for (int i = 0; i < COMMANDS; i++) {
                System.arraycopy(kill, 0, bytes, i * kill.length, kill.length);
            }
            Stand.note("bad client, try " + number + ": " + COMMANDS + " times KILL QUERY of its own session, then 60 MB");
            int written = 0;
            try {
                while (written < bytes.length) {
                    int part = Math.min(CHUNK, bytes.length - written);
                    bad.out.write(bytes, written, part);
                    written += part;
                }
            } catch (IOException e) {
                Stand.note("bad client, try " + number + ": turned away after " + written + " bytes: " + e.getMessage());
            }
            for (int i = 0; i <= COMMANDS; i++) {
                Stand.Answer answer = bad.answer();
                if (!answer.kind().equals("ok")) {
                    Stand.note("bad client, try " + number + ": reads " + answer);
                    return;
                }
            }
        } catch (IOException e) {
            Stand.note("bad client, try " + number + ": ended by " + e);
        }
        Stand.sleep(20);
    }
}
