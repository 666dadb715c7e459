// Package zonepb holds the generated code of zone.proto, the form of the messages on the wire.
package zonepb
