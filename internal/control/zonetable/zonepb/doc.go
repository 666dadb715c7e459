// Package zonepb contains the code generated from zone.proto, the wire format of zone messages.
package zonepb
