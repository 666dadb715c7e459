package scale

import "hash/fnv"

// Fingerprint returns a hash of the members in service, by which the views of two gateways can be compared.
func Fingerprint(members int, serves func(member int) bool) uint64 {
	hash := fnv.New64a()
	for member := range members {
		state := byte(0)
		if serves(member) {
			state = 1
		}
		hash.Write([]byte{state}) // a hash returns no error
	}
	return hash.Sum64()
}
