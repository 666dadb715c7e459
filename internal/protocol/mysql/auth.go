package mysql

import (
	"crypto/sha1"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"strings"
)

// Hash is what the front keeps of a password: SHA-1 of its SHA-1.
type Hash [sha1.Size]byte

// HashOf hashes a password.
func HashOf(password string) Hash {
	first := sha1.Sum([]byte(password))
	return sha1.Sum(first[:])
}

// ParseHash reads a hash in the customary form, a star and 40 hexadecimal digits.
func ParseHash(text string) (Hash, error) {
	var h Hash
	raw, err := hex.DecodeString(strings.TrimPrefix(text, "*"))
	if err != nil || len(raw) != len(h) {
		return h, fmt.Errorf("password hash of %d characters is not a star and 40 hexadecimal digits", len(text))
	}
	copy(h[:], raw)
	return h, nil
}

// proves reports whether a client's token shows that it knows the password.
func (h Hash) proves(scramble, token []byte) bool {
	if len(token) != len(h) {
		return false
	}
	first := sha1.Sum(xor(token, mixed(scramble, h[:])))
	return subtle.ConstantTimeCompare(first[:], h[:]) == 1
}

// token proves a password to an engine.
func token(scramble []byte, password string) []byte {
	if password == "" {
		return nil
	}
	first := sha1.Sum([]byte(password))
	second := sha1.Sum(first[:])
	return xor(first[:], mixed(scramble, second[:]))
}

func mixed(scramble, hash []byte) []byte {
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
