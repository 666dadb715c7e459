package scale

import "hash/fnv"

// Fingerprint returns a hash of the set of members in service. It is used to compare the views of two gateways.
func Fingerprint(members int, inService func(member int) bool) uint64 {
	hash := fnv.New64a()
	for member := range members {
		state := byte(0)
		if inService(member) {
			state = 1
		}
		hash.Write([]byte{state}) // never returns an error, see hash.Hash
	}
	return hash.Sum64()
}
