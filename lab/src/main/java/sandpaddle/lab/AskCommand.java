package sandpaddle.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.ThreadLocalRandom;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sandpaddle.eventloop.EventLoop;

/** The {@code ask} command: sends one query to a gateway, for machines without a MySQL client. */
@Command(
        name = "ask",
        mixinStandardHelpOptions = true,
        description = "Sends one query to a gateway and prints the result.",
        footerHeading = "%nExamples:%n",
        footer = {"  ask \"SELECT day FROM sales_17.orders\"", "  ask --route report --patience 9000 \"SELECT 1\""})
final class AskCommand implements Callable<Integer> {
    @Parameters(paramLabel = "STATEMENT", description = "The statement, without the comment that carries the fields.")
    private String statement;

    @Option(
            names = "--port",
            defaultValue = "3307",
            description = "Port of the gateway on 127.0.0.1 (${DEFAULT-VALUE}).")
    private int port;

    @Option(names = "--route", defaultValue = "lookup", description = "The request class (${DEFAULT-VALUE}).")
    private String route;

    @Option(
            names = "--patience",
            defaultValue = "5000",
            description = "Client timeout in milliseconds (${DEFAULT-VALUE}).")
    private int patience;

    @Option(names = "--fields", paramLabel = "k=v,k=v", description = "Further fields, such as once=nightly-17.")
    private String fields;

    @Override
    public Integer call() throws IOException {
        EventLoop loop = new EventLoop();
        String trace =
                String.format(Locale.ROOT, "%016x", ThreadLocalRandom.current().nextLong());
        ClientSession session = new ClientSession(loop, new InetSocketAddress("127.0.0.1", port));
        int[] exitCode = {-1};
        session.send(
                "/* route=" + route + ",trace=" + trace + ",patience=" + patience + (fields == null ? "" : "," + fields)
                        + " */ " + statement,
                new ClientSession.ResponseListener() {
                    @Override
                    public void onRows(int rows) {
                        System.out.println(rows + " rows");
                        exitCode[0] = 0;
                    }

                    @Override
                    public void onError(int errorCode, String text) {
                        System.out.println("error " + errorCode + ": " + text);
                        exitCode[0] = 1;
                    }

                    @Override
                    public void onConnectionLost(boolean established) {
                        System.out.println(
                                established ? "the gateway closed the connection" : "no gateway at port " + port);
                        exitCode[0] = 1;
                    }
                });
        while (exitCode[0] < 0) {
            loop.runTurn(() -> {}, Duration.ofMillis(100));
        }
        session.close();
        return exitCode[0];
    }
}
