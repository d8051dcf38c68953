package sandpaddle.lab;

import java.awt.BasicStroke;
import java.awt.Color;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Writes line charts as PNG files. */
final class Charts {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 420;
    private static final List<Color> COLORS = List.of(
            new Color(0x1b6ca8),
            new Color(0xc8553d),
            new Color(0x4f772d),
            new Color(0x6d597a),
            new Color(0x8a817c),
            new Color(0xe09f3e));

    /** A data series; each point is a pair of x and y. */
    record Line(String name, double[][] points) {}

    private Charts() {}

    static void lines(Path file, String title, String xLabel, String yLabel, List<Line> lines) throws IOException {
        System.setProperty("java.awt.headless", "true");
        XYSeriesCollection data = new XYSeriesCollection();
        for (Line line : lines) {
            XYSeries series = new XYSeries(line.name);
            for (double[] p : line.points) {
                series.add(p[0], p[1]);
            }
            data.addSeries(series);
        }
        JFreeChart chart = ChartFactory.createXYLineChart(
                title, xLabel, yLabel, data, PlotOrientation.VERTICAL, true, false, false);
        XYPlot plot = chart.getXYPlot();
        plot.setBackgroundPaint(Color.WHITE);
        plot.setDomainGridlinePaint(Color.LIGHT_GRAY);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer(true, false);
        for (int i = 0; i < lines.size(); i++) {
            renderer.setSeriesPaint(i, COLORS.get(i % COLORS.size()));
            renderer.setSeriesStroke(i, new BasicStroke(2f));
        }
        plot.setRenderer(renderer);
        File out = file.toFile();
        if (file.getParent() != null) {
            Files.createDirectories(file.getParent());
        }
        ChartUtils.saveChartAsPNG(out, chart, WIDTH, HEIGHT);
    }
}
