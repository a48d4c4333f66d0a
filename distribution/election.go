package distribution

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// WatcherCount is the number of instances of a failure domain that watch the
// store.
const WatcherCount = 2

// FallbackAge is the age of the newest update from the store after which the
// first instance beyond WatcherCount watches too. Each further instance waits
// twice as long as the one before.
const FallbackAge = 5 * time.Second

// maxFallbackDoublings keeps the doubled age within the range of a
// time.Duration.
const maxFallbackDoublings = 24

// Rank returns the position of an instance among the live members of its
// failure domain by rendezvous hashing, starting at 0. The members may or may
// not include the instance itself.
func Rank(self string, members []string) int {
	selfHash := xxhash.Sum64String(self)
	rank := 0
	for _, member := range members {
		hash := xxhash.Sum64String(member)
		if hash > selfHash || (hash == selfHash && member > self) {
			rank++
		}
	}
	return rank
}

// ShouldWatch reports whether the instance with the given rank watches the
// store. Age is the age of the newest update from the store; contacted is false
// if there has been none.
func ShouldWatch(rank int, age time.Duration, contacted bool) bool {
	if rank < WatcherCount || !contacted {
		return true
	}
	doublings := min(rank-WatcherCount, maxFallbackDoublings)
	return age > FallbackAge<<doublings
}
