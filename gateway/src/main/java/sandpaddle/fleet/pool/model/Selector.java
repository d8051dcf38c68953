package sandpaddle.fleet.pool.model;

import java.util.List;
import java.util.stream.Collectors;

/**
 * The set of connections that a share statement applies to: at most one term for each of tenant, class and place.
 *
 * @param terms in the order of their dimensions, so that selectors of the same set are equal
 */
public record Selector(List<Term> terms) {
    /** The property of a connection that a term restricts. */
    public enum Dimension {
        /** The tenant that a connection is used for. */
        TENANT,
        /** The request class that a connection is used for. */
        CLASS,
        /** The gateway or zone that a connection starts from. */
        PLACE
    }

    /** The forms of a term. Within one dimension, the form of the higher rank is more specific and takes precedence. */
    public enum Form {
        /** A tenant by name. */
        TENANT(Dimension.TENANT, 4, "tenant"),
        /** Each tenant of a group individually. */
        GROUP(Dimension.TENANT, 3, "tenant group"),
        /** The sum over all tenants of a group; {@code together} in the policy language. */
        GROUP_TOTAL(Dimension.TENANT, 2, "tenant group"),
        /** Each tenant without a term of its own. */
        ANY_TENANT(Dimension.TENANT, 1, "default tenant"),
        /** A request class by name. */
        CLASS(Dimension.CLASS, 4, "class"),
        /** Each request class without a term of its own. */
        ANY_CLASS(Dimension.CLASS, 1, "default class"),
        /** A gateway by name. */
        GATEWAY(Dimension.PLACE, 4, "gateway"),
        /** All gateways of a zone together; {@code hall} in the policy language. */
        ZONE(Dimension.PLACE, 3, "hall"),
        /** Each gateway without a term of its own. */
        ANY_GATEWAY(Dimension.PLACE, 2, "default gateway"),
        /** Each zone without a term of its own. */
        ANY_ZONE(Dimension.PLACE, 1, "default hall");

        private final Dimension dimension;
        private final int rank;
        private final String keywords;

        Form(Dimension dimension, int rank, String keywords) {
            this.dimension = dimension;
            this.rank = rank;
            this.keywords = keywords;
        }

        /** The dimension that terms of this form restrict. */
        public Dimension dimension() {
            return dimension;
        }

        /** Whether this form applies to everything in its dimension that has no term of its own. */
        public boolean isDefault() {
            return this == ANY_TENANT || this == ANY_CLASS || this == ANY_GATEWAY || this == ANY_ZONE;
        }

        /** The keywords that introduce this form in the policy language. */
        public String keywords() {
            return keywords;
        }
    }

    /**
     * One term of a selector.
     *
     * @param name of the tenant, group, class, gateway or zone; empty for defaults
     */
    public record Term(Form form, String name) {
        @Override
        public String toString() {
            return switch (form) {
                case GROUP -> form.keywords + " " + name;
                case GROUP_TOTAL -> form.keywords + " " + name + " together";
                default -> form.isDefault() ? form.keywords : form.keywords + " \"" + name + "\"";
            };
        }
    }

    /** Copies the terms. */
    public Selector {
        terms = List.copyOf(terms);
    }

    /** The specificity of this selector: compares first by the number of terms, then by the sum of their ranks. */
    public int specificity() {
        int ranks = 0;
        for (Term term : terms) {
            ranks += term.form.rank;
        }
        return terms.size() * 100 + ranks;
    }

    /** The forms of the terms, in the order of the terms. */
    public List<Form> forms() {
        return terms.stream().map(Term::form).toList();
    }

    @Override
    public String toString() {
        return terms.stream().map(Term::toString).collect(Collectors.joining(" "));
    }
}
