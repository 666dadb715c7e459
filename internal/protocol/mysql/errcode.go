package mysql

// Error codes of ERR packets (MySQL documentation, "Server Error Message Reference").
const (
	erConCount               = 1040 // ER_CON_COUNT_ERROR: too many connections
	erOutOfResources         = 1041 // ER_OUT_OF_RESOURCES
	erAccessDenied           = 1045 // ER_ACCESS_DENIED_ERROR
	erUnknownCommand         = 1047 // ER_UNKNOWN_COM_ERROR
	erServerShutdown         = 1053 // ER_SERVER_SHUTDOWN
	erTooLongIdentifier      = 1059 // ER_TOO_LONG_IDENT
	erParseError             = 1064 // ER_PARSE_ERROR
	erNoSuchThread           = 1094 // ER_NO_SUCH_THREAD: the response to KILL for a connection that has ended
	erUnknownError           = 1105 // ER_UNKNOWN_ERROR
	erNetPacketTooLarge      = 1153 // ER_NET_PACKET_TOO_LARGE
	erTooManyUserConnections = 1203 // ER_TOO_MANY_USER_CONNECTIONS
	erNotSupportedYet        = 1235 // ER_NOT_SUPPORTED_YET
	erUnknownStatement       = 1243 // ER_UNKNOWN_STMT_HANDLER
	erQueryInterrupted       = 1317 // ER_QUERY_INTERRUPTED: ended by KILL QUERY
	erMaxPreparedStatements  = 1461 // ER_MAX_PREPARED_STMT_COUNT_REACHED
	erMalformedPacket        = 1835 // ER_MALFORMED_PACKET
	erQueryTimeout           = 3024 // ER_QUERY_TIMEOUT: MAX_EXECUTION_TIME exceeded
)

// defaultSQLState is the SQLSTATE of error codes without a specific one.
const defaultSQLState = "HY000"

// sqlStates are the specific SQLSTATE values of the errors that ServerConn sends.
var sqlStates = map[int]string{
	erConCount:              "08004",
	erAccessDenied:          "28000",
	erUnknownCommand:        "08S01",
	erNetPacketTooLarge:     "08S01",
	erNotSupportedYet:       "42000",
	erMaxPreparedStatements: "42000",
	erTooLongIdentifier:     "42000",
	erParseError:            "42000",
}
