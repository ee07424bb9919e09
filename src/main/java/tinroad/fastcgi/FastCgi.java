package tinroad.fastcgi;

/** Constants of the FastCGI 1.0 protocol. */
final class FastCgi {
    static final int VERSION = 1;
    static final int HEADER_BYTES = 8;
    static final int BEGIN_REQUEST_BODY_BYTES = 8;
    static final int MAX_CONTENT_BYTES = 65535;

    // Record types.
    static final int BEGIN_REQUEST = 1;
    static final int ABORT_REQUEST = 2;
    static final int END_REQUEST = 3;
    static final int PARAMS = 4;
    static final int STDIN = 5;
    static final int STDOUT = 6;
    static final int GET_VALUES = 9;
    static final int GET_VALUES_RESULT = 10;
    static final int UNKNOWN_TYPE = 11;

    // The role and the flag in BEGIN_REQUEST.
    static final int RESPONDER = 1;
    static final int KEEP_CONN = 1;

    // Protocol statuses in END_REQUEST.
    static final int REQUEST_COMPLETE = 0;
    static final int OVERLOADED = 2;
    static final int UNKNOWN_ROLE = 3;

    private FastCgi() {}
}
