package mysql

import (
	"crypto/sha1"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
)

// ErrPasswordHash is wrapped by the error of ParsePasswordHash for text that is not a password hash.
var ErrPasswordHash = errors.New("password hash must have 40 hexadecimal digits after an optional asterisk")

// PasswordHash is the verifier of mysql_native_password: SHA-1 of the SHA-1 of the password (MySQL documentation, "Native
// Password Authentication").
type PasswordHash [sha1.Size]byte

// HashPassword returns the PasswordHash of a password.
func HashPassword(password string) PasswordHash {
	first := sha1.Sum([]byte(password))
	return sha1.Sum(first[:])
}

// ParsePasswordHash parses a hash in the form that MySQL prints: an asterisk and 40 hexadecimal digits. The asterisk may be
// omitted. The error wraps ErrPasswordHash and gives only the length of the text, which may be a plain password.
func ParsePasswordHash(text string) (PasswordHash, error) {
	var h PasswordHash
	raw, err := hex.DecodeString(strings.TrimPrefix(text, "*"))
	if err != nil || len(raw) != len(h) {
		return h, fmt.Errorf("%w: got %d characters", ErrPasswordHash, len(text))
	}
	copy(h[:], raw)
	return h, nil
}

// verify reports whether a client's auth response proves that it knows the password. The response is
// SHA1(password) XOR SHA1(scramble + SHA1(SHA1(password))), so the hash is sufficient to recover SHA1(password).
func (h PasswordHash) verify(scramble, response []byte) bool {
	if len(response) != len(h) {
		return false
	}
	first := xor(response, scrambledHash(scramble, h[:]))
	second := sha1.Sum(first)
	return subtle.ConstantTimeCompare(second[:], h[:]) == 1
}

// authResponse returns the auth response for an engine's scramble. It is empty for an empty password.
func authResponse(scramble []byte, password string) []byte {
	if password == "" {
		return nil
	}
	first := sha1.Sum([]byte(password))
	second := sha1.Sum(first[:])
	return xor(first[:], scrambledHash(scramble, second[:]))
}

// scrambledHash returns SHA1(scramble + hash).
func scrambledHash(scramble, hash []byte) []byte {
	sum := sha1.Sum(append(append([]byte(nil), scramble...), hash...))
	return sum[:]
}

func xor(a, b []byte) []byte {
	out := make([]byte, len(a))
	for i := range a {
		out[i] = a[i] ^ b[i]
	}
	return out
}
