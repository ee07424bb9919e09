package tinroad.operator;

import java.util.List;

/**
 * An operator file that can't be used; holds everything that is wrong with it, in the order of its
 * lines.
 */
public final class OperatorException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<ValidationError> faults;

    /** At least one fault. */
    public OperatorException(List<ValidationError> faults) {
        super(faults.get(0) + (faults.size() > 1 ? " (and " + (faults.size() - 1) + " more)" : ""));
        this.faults = List.copyOf(faults);
    }

    /** What is wrong, at least one. */
    public List<ValidationError> faults() {
        return faults;
    }
}
