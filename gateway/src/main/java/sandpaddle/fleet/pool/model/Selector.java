package sandpaddle.fleet.pool.model;

import java.util.List;
import java.util.stream.Collectors;

/**
 * What a share statement speaks of: at most one term each for the tenant, the class, and the place. Terms are in the
 * order of their dimensions, so that equal selections are equal.
 */
public record Selector(List<Term> terms) {
    /** What a term narrows. */
    public enum Dimension {
        TENANT,
        CLASS,
        PLACE
    }

    /** The forms of a term; {@code level}: the more specific wins over the others of its dimension. */
    public enum Form {
        TENANT(Dimension.TENANT, 4, "tenant"),
        /** Each tenant of a group for itself. */
        GROUP(Dimension.TENANT, 3, "tenant group"),
        /** All tenants of a group in sum. */
        TOGETHER(Dimension.TENANT, 2, "tenant group"),
        ANY_TENANT(Dimension.TENANT, 1, "default tenant"),
        CLASS(Dimension.CLASS, 4, "class"),
        ANY_CLASS(Dimension.CLASS, 1, "default class"),
        GATEWAY(Dimension.PLACE, 4, "gateway"),
        ZONE(Dimension.PLACE, 3, "hall"),
        ANY_GATEWAY(Dimension.PLACE, 2, "default gateway"),
        ANY_ZONE(Dimension.PLACE, 1, "default hall");

        private final Dimension dimension;
        private final int level;
        private final String words;

        Form(Dimension dimension, int level, String words) {
            this.dimension = dimension;
            this.level = level;
            this.words = words;
        }

        public Dimension dimension() {
            return dimension;
        }

        public boolean isDefault() {
            return this == ANY_TENANT || this == ANY_CLASS || this == ANY_GATEWAY || this == ANY_ZONE;
        }

        /** How the policy's author writes it. */
        public String words() {
            return words;
        }
    }

    /** One term; the name is empty for defaults. */
    public record Term(Form form, String name) {
        @Override
        public String toString() {
            return switch (form) {
                case GROUP -> form.words + " " + name;
                case TOGETHER -> form.words + " " + name + " together";
                default -> form.isDefault() ? form.words : form.words + " \"" + name + "\"";
            };
        }
    }

    public Selector {
        terms = List.copyOf(terms);
    }

    /** The more specific selection has the greater number: first by its count of terms, then by their levels. */
    public int specificity() {
        int levels = 0;
        for (Term term : terms) {
            levels += term.form.level;
        }
        return terms.size() * 100 + levels;
    }

    public List<Form> forms() {
        return terms.stream().map(Term::form).toList();
    }

    @Override
    public String toString() {
        return terms.stream().map(Term::toString).collect(Collectors.joining(" "));
    }
}
