// Package membershippb contains the code generated from membership.proto, the wire format of the membership protocol.
package membershippb
