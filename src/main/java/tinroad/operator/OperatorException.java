package tinroad.operator;

import java.util.List;

/**
 * Thrown for an operator file that can't be used, with all its errors in the order of its lines.
 */
public final class OperatorException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<ValidationError> errors;

    /** Creates an exception with these errors, at least one. */
    public OperatorException(List<ValidationError> errors) {
        super(errors.get(0) + (errors.size() > 1 ? " (and " + (errors.size() - 1) + " more)" : ""));
        this.errors = List.copyOf(errors);
    }

    /** Returns the errors, at least one. */
    public List<ValidationError> errors() {
        return errors;
    }
}
