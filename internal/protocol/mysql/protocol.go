package mysql

// Command bytes of the command phase (MySQL documentation, "Text Protocol" and "Prepared Statements").
const (
	comQuit             = 0x01
	comInitDB           = 0x02
	comQuery            = 0x03
	comPing             = 0x0e
	comStmtPrepare      = 0x16
	comStmtExecute      = 0x17
	comStmtSendLongData = 0x18
	comStmtClose        = 0x19
	comStmtReset        = 0x1a
)

// First bytes of the generic response packets, and of the handshake (MySQL documentation, "Generic Response Packets",
// "Protocol::HandshakeV10", "Protocol::AuthSwitchRequest").
const (
	okHeader         = 0x00
	handshakeVersion = 10
	authSwitchHeader = 0xfe
	eofHeader        = 0xfe
	errHeader        = 0xff
	maxEOFPayload    = 8 // bytes; a longer payload that begins with 0xfe is a row
	sqlStateMarker   = '#'
)

// Sizes and size limits of packets, in bytes.
const (
	headerSize        = 4 // three-byte payload length and sequence id
	maxPayload        = 1<<24 - 1
	maxCommandSize    = 1 << 20  // client's command; also the long data of a statement
	maxNonRowPacket   = 64 << 10 // packet from an engine, except rows
	maxResultMetadata = 1 << 20  // column definitions of a result
)

// Size limits of what a client names, in bytes.
const (
	maxSchemaBytes    = 64 * 4 // 64 characters in UTF-8 (MySQL Reference Manual, "Identifier Length Limits")
	maxReplayKeyBytes = 1 << 10
)

// maxClientStatements is the maximum number of prepared statements of a client connection.
const maxClientStatements = 256

// Capability flags (MySQL documentation, "Capabilities Flags").
const (
	clientLongPassword         = 1 << 0
	clientLongFlag             = 1 << 2
	clientConnectWithDB        = 1 << 3
	clientProtocol41           = 1 << 9
	clientTransactions         = 1 << 13
	clientSecureConnection     = 1 << 15
	clientPluginAuth           = 1 << 19
	clientPluginAuthLenencData = 1 << 21
)

// capabilityFlags are the capabilities that the gateway offers to clients and requests from engines. Both use the same set, so
// that results can be relayed unchanged.
const capabilityFlags = clientLongPassword | clientLongFlag | clientConnectWithDB | clientProtocol41 |
	clientTransactions | clientSecureConnection | clientPluginAuth

// Status flags of OK and EOF packets.
const (
	serverStatusAutocommit = 2
	serverMoreResultsExist = 8
)

const collationUTF8MB4 = 45 // utf8mb4_general_ci

// Sizes of the fields of the handshake, in bytes.
const (
	authPluginDataSize      = 20 // auth plugin data ("scramble") that mysql_native_password uses
	authPluginDataPart1Size = 8
	authPluginDataPart2Min  = 13 // including the terminating zero byte
	handshakeReservedSize   = 10
	handshakeFillerSize     = 23 // filler in the handshake response
)

const nativePassword = "mysql_native_password"
