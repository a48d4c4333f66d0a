package distribution

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// WatcherCount is the number of instances of a failure domain that watch the
// store.
const WatcherCount = 2

// FallbackAge is the age of the store's newest word after which the first
// instance beyond WatcherCount watches too. The next ones wait twice as long
// each.
const FallbackAge = 5 * time.Second

// maxFallbackDoublings keeps the doubled age within the range of a
// time.Duration.
const maxFallbackDoublings = 24

// Rank returns the place of an instance among the live members of its failure
// domain, 0 being the first, by rendezvous hashing. The members may or may not
// include the instance itself.
func Rank(self string, members []string) int {
	own := xxhash.Sum64String(self)
	rank := 0
	for _, member := range members {
		hash := xxhash.Sum64String(member)
		if hash > own || (hash == own && member > self) {
			rank++
		}
	}
	return rank
}

// ShouldWatch says whether the instance of the rank watches the store, given
// how old the store's newest word is and whether there has been any.
func ShouldWatch(rank int, age time.Duration, heard bool) bool {
	if rank < WatcherCount || !heard {
		return true
	}
	doublings := min(rank-WatcherCount, maxFallbackDoublings)
	return age > FallbackAge<<doublings
}
