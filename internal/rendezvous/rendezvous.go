// Package rendezvous weighs candidates for rendezvous hashing: each key has an order of its own among
// the candidates, and only what a candidate holds moves when it comes or goes.
package rendezvous

// Weight returns the weight of a candidate for a key, both given by their hashes.
func Weight(key, candidate uint64) uint64 {
	x := key ^ candidate // the finalizer of SplitMix64 spreads its bits
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
