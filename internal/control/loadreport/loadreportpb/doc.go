// Package loadreportpb holds the generated code of loadreport.proto, the form of the messages on the wire.
package loadreportpb
