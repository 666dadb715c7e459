package scale

import "hash/fnv"

// Fingerprint is a figure that two views share when they hold the same members in service.
func Fingerprint(members int, serves func(member int) bool) uint64 {
	hash := fnv.New64a()
	for member := range members {
		if serves(member) {
			hash.Write([]byte{1})
		} else {
			hash.Write([]byte{0})
		}
	}
	return hash.Sum64()
}
