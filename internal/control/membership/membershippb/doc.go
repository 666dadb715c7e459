// Package membershippb holds the generated code of membership.proto, the form of the messages on the wire.
package membershippb
