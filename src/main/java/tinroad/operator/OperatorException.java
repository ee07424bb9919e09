package tinroad.operator;

import java.util.List;

/**
 * An operator file that can't be used; holds everything that is wrong with it, in the order of its
 * lines.
 */
public final class OperatorException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<ValidationError> errors;

    /** At least one fault. */
    public OperatorException(List<ValidationError> errors) {
        super(errors.get(0) + (errors.size() > 1 ? " (and " + (errors.size() - 1) + " more)" : ""));
        this.errors = List.copyOf(errors);
    }

    /** What is wrong, at least one. */
    public List<ValidationError> errors() {
        return errors;
    }
}
