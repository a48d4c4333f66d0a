package sharetable

import (
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxListedHolders is the largest burst, in requests, whose holders are listed by
// name.
const maxListedHolders = 64

// Customer is the name, rate and burst of a customer.
type Customer struct {
	Name string
	// Rate is in requests per second over all entry instances together.
	Rate float64
	// Burst is in whole requests over all entry instances together.
	Burst int
}

// Share is what one member may use of one customer's rate and burst.
type Share struct {
	Customer Customer
	// Rate is in requests per second.
	Rate float64
	// Burst is in whole requests.
	Burst int
	// Holders are the members that own tokens of a customer with a small burst, of up
	// to maxListedHolders. It is nil for a larger one, of which every member owns some.
	Holders []string
	// Oversubscribed is set when the customer's demand over all members is so far
	// above its rate that none has tokens to lend.
	Oversubscribed bool
}

// Divide returns the shares of a member that may use the limit, in the order
// of the customers. Holders are taken from the table; without one there are none.
func Divide(limit Ranges, customers []Customer, table *Table) []Share {
	var owners []ownedRange
	if table != nil {
		owners = table.ownedRanges()
	}
	shares := make([]Share, len(customers))
	for i, c := range customers {
		shares[i] = shareOf(limit, c)
		if c.Burst <= maxListedHolders {
			shares[i].Holders = holdersOf(c, owners)
		}
	}
	return shares
}

// shareOf returns the share of one customer that the limit covers, without Holders.
func shareOf(limit Ranges, c Customer) Share {
	share := Share{Customer: c}
	if c.Burst <= 0 {
		return share
	}
	offset := offsetOf(c.Name)
	for _, r := range limit {
		share.Burst += tokensBelow(c.Burst, offset, r.End) - tokensBelow(c.Burst, offset, r.Start)
	}
	share.Rate = c.Rate * float64(share.Burst) / float64(c.Burst)
	return share
}

// lineLength is the length of the line on which the positions of tokens are
// computed. It is a power of two, unlike Whole, which divides the same line.
const lineLength = uint64(1) << 32

// offsetOf returns how far the positions of the customer's tokens are shifted.
func offsetOf(customer string) uint64 { return xxhash.Sum64String(customer) % lineLength }

// startPosition returns the position on the line at which a part starts.
func startPosition(part int) uint64 { return uint64(part) * lineLength / Whole }

// groupSize is the number of tokens that share one position. Whole tokens in one
// bucket serve a request more often than fractions of tokens in many.
const groupSize = 4

// tokenPosition returns the position of one token on the line.
func tokenPosition(token int, offset uint64) uint64 {
	return (uint64(bits.Reverse32(uint32(token/groupSize))) + offset) % lineLength
}

// tokensBelow returns how many of the first burst tokens lie below the start of the
// part.
func tokensBelow(burst int, offset uint64, part int) int {
	// A position is below end exactly if its unshifted position is in
	// [-offset, end-offset), modulo the length of the line.
	end := startPosition(part)
	if end >= offset {
		wrapped := burst - unshiftedBelow(burst, lineLength-offset)
		return wrapped + unshiftedBelow(burst, end-offset)
	}
	return unshiftedBelow(burst, lineLength-offset+end) - unshiftedBelow(burst, lineLength-offset)
}

// unshiftedBelow returns how many of the first burst tokens lie below x when
// the offset is 0.
func unshiftedBelow(burst int, x uint64) int {
	fullGroups, remainder := burst/groupSize, burst%groupSize
	count := groupSize * pointsBelow(fullGroups, x)
	if uint64(bits.Reverse32(uint32(fullGroups))) < x {
		count += remainder
	}
	return count
}

// pointsBelow returns how many of the first n points of the van der Corput
// sequence, scaled to the line, lie below x. It splits n into runs of powers
// of two; the points of a run are evenly spaced.
func pointsBelow(n int, x uint64) int {
	count := 0
	base := uint32(0)
	for bit := 31; bit >= 0; bit-- {
		size := uint32(1) << bit
		if uint32(n)&size == 0 {
			continue
		}
		first := uint64(bits.Reverse32(base))
		step := lineLength >> bit
		if x > first {
			count += int(min((x-first+step-1)/step, uint64(size)))
		}
		base += size
	}
	return count
}

// ownedRange is a range of the limit of the member owner.
type ownedRange struct {
	Range
	owner string
}

// ownedRanges returns the ranges of all limits, sorted by start.
func (t *Table) ownedRanges() []ownedRange {
	var owned []ownedRange
	for name, e := range t.Members {
		for _, r := range e.Limit {
			owned = append(owned, ownedRange{r, name})
		}
	}
	slices.SortFunc(owned, func(a, b ownedRange) int { return a.Start - b.Start })
	return owned
}

// holdersOf returns the owners of the customer's tokens, each of them once.
func holdersOf(c Customer, owners []ownedRange) []string {
	var names []string
	offset := offsetOf(c.Name)
	for token := range c.Burst {
		at := tokenPosition(token, offset)
		i, _ := slices.BinarySearchFunc(owners, at, func(o ownedRange, at uint64) int {
			if startPosition(o.End) <= at {
				return -1
			}
			return 1
		})
		if i < len(owners) && startPosition(owners[i].Start) <= at && !slices.Contains(names, owners[i].owner) {
			names = append(names, owners[i].owner)
		}
	}
	return names
}
