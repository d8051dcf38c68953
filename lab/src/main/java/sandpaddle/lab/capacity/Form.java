package sandpaddle.lab.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/** The form of a linear model: a constant and one slope per term. A term is a product of axes. */
record Form(List<List<Axis>> terms) {
    static final Form CONSTANT = new Form(List.of());

    Form {
        terms = terms.stream().map(List::copyOf).toList();
    }

    /** The candidate forms over the axes that vary, the simplest first. */
    static List<Form> candidates(Set<Axis> varying) {
        List<Axis> axes = List.copyOf(new TreeSet<>(varying));
        List<Form> forms = new ArrayList<>();
        forms.add(CONSTANT);
        axes.forEach(a -> forms.add(new Form(List.of(List.of(a)))));
        List<Form> pairs = new ArrayList<>();
        for (int i = 0; i < axes.size(); i++) {
            for (int j = i + 1; j < axes.size(); j++) {
                Axis a = axes.get(i);
                Axis b = axes.get(j);
                forms.add(new Form(List.of(List.of(a, b))));
                pairs.add(new Form(List.of(List.of(a), List.of(b))));
                pairs.add(new Form(List.of(List.of(a), List.of(a, b))));
                pairs.add(new Form(List.of(List.of(b), List.of(a, b))));
            }
        }
        axes.forEach(a -> forms.add(new Form(List.of(List.of(a, a)))));
        forms.addAll(pairs);
        return forms;
    }

    /** The values of the terms at these sizes: a row of the design matrix. */
    double[] row(Map<Axis, Double> sizes) {
        return terms.stream()
                .mapToDouble(term -> term.stream()
                        .mapToDouble(a -> sizes.getOrDefault(a, 0.0))
                        .reduce(1, (x, y) -> x * y))
                .toArray();
    }

    /** The axes that the form depends on. */
    Set<Axis> axes() {
        return terms.stream().flatMap(List::stream).collect(Collectors.toCollection(TreeSet::new));
    }

    /** Whether a term contains an axis more than once; two sizes cannot tell such a term from a linear one. */
    boolean isSquare() {
        return terms.stream().anyMatch(t -> t.size() > Set.copyOf(t).size());
    }

    @Override
    public String toString() {
        return terms.isEmpty()
                ? "constant"
                : "linear in "
                        + terms.stream()
                                .map(t -> t.stream().map(Axis::symbol).collect(Collectors.joining(" x ")))
                                .collect(Collectors.joining(" and in "));
    }
}
