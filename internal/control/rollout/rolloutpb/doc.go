// Package rolloutpb holds the generated code of rollout.proto, the form of the messages on the wire.
package rolloutpb
