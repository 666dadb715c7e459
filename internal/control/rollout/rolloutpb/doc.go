// Package rolloutpb contains the code generated from rollout.proto, the wire format of rollout messages.
package rolloutpb
