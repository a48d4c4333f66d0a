package propagation

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// contactChains is the number of instances that each instance tells of a change.
	contactChains = 3
	// chainLength is the number of instances in a chain.
	chainLength = 3
)

// Contacts returns the names of the instances that an instance tells of a change, as chains:
// it tells the first one of each chain, and the next one when there is no response within
// Budget.Hedge. Two chains hold the next instances of the ring, the last one holds others by
// rendezvous hashing, which are mostly the same for each change, so that connections to them
// stay open. ring holds the names of all instances that can be told, in the same order at
// every instance; self is not among them, and position is where it would be.
func Contacts(self string, ring []string, position int) [][]string {
	chains := make([][]string, contactChains)
	const successors = (contactChains - 1) * chainLength
	rotated := append(slices.Clone(ring[position:]), ring[:position]...)
	for n, name := range rotated[:min(successors, len(rotated))] {
		chain := n % (contactChains - 1)
		chains[chain] = append(chains[chain], name)
	}
	if len(rotated) <= successors {
		return chains
	}
	rest := rotated[successors:]
	rank := func(name string) uint64 { return xxhash.Sum64String(self + "\x00" + name) }
	slices.SortFunc(rest, func(a, b string) int { return cmp.Compare(rank(b), rank(a)) })
	chains[contactChains-1] = rest[:min(chainLength, len(rest))]
	return chains
}
