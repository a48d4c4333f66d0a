package sharetable

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"
)

// Whole is the number of equal parts of the line on which every rate and burst is
// divided.
const Whole = 1_000_000

// Range is the half-open interval of parts from Start to End.
type Range struct {
	Start, End int
}

// Ranges is a set of parts: sorted, disjoint and non-empty intervals. It is
// stored as a flat list of starts and lengths.
type Ranges []Range

// All returns the set of all parts.
func All() Ranges { return Ranges{{0, Whole}} }

// Size returns the number of parts.
func (r Ranges) Size() int {
	size := 0
	for _, x := range r {
		size += x.End - x.Start
	}
	return size
}

// Union returns the parts that are in either set.
func (r Ranges) Union(other Ranges) Ranges {
	if len(other) == 0 {
		return r
	}
	all := slices.Concat(r, other)
	slices.SortFunc(all, func(a, b Range) int { return a.Start - b.Start })
	merged := all[:0]
	for _, x := range all {
		last := len(merged) - 1
		if last >= 0 && x.Start <= merged[last].End {
			merged[last].End = max(merged[last].End, x.End)
			continue
		}
		merged = append(merged, x)
	}
	return merged
}

// Subtract returns the parts that are not in the other set.
func (r Ranges) Subtract(other Ranges) Ranges {
	var left Ranges
	j := 0
	for _, x := range r {
		for j < len(other) && other[j].End <= x.Start {
			j++
		}
		start := x.Start
		for k := j; k < len(other) && other[k].Start < x.End; k++ {
			if other[k].Start > start {
				left = append(left, Range{start, other[k].Start})
			}
			start = max(start, other[k].End)
		}
		if start < x.End {
			left = append(left, Range{start, x.End})
		}
	}
	return left
}

// Contains reports whether every part of the other set is in this one.
func (r Ranges) Contains(other Ranges) bool { return len(other.Subtract(r)) == 0 }

// Equal reports whether both sets have the same intervals.
func (r Ranges) Equal(other Ranges) bool { return slices.Equal(r, other) }

// take returns up to size parts, from the shortest intervals first, so that the
// remaining parts stay in few intervals.
func (r Ranges) take(size int) Ranges {
	byLength := slices.Clone(r)
	slices.SortStableFunc(byLength, func(a, b Range) int { return (a.End - a.Start) - (b.End - b.Start) })
	var taken Ranges
	for _, x := range byLength {
		if size <= 0 {
			break
		}
		x.Start = max(x.Start, x.End-size)
		size -= x.End - x.Start
		taken = append(taken, x)
	}
	slices.SortFunc(taken, func(a, b Range) int { return a.Start - b.Start })
	return taken
}

// MarshalJSON returns the flat list of starts and lengths.
func (r Ranges) MarshalJSON() ([]byte, error) {
	flat := make([]int, 0, 2*len(r))
	for _, x := range r {
		flat = append(flat, x.Start, x.End-x.Start)
	}
	return json.Marshal(flat)
}

// UnmarshalJSON parses the flat list and returns an error unless its intervals are
// non-empty, sorted, disjoint and within Whole.
func (r *Ranges) UnmarshalJSON(data []byte) error {
	var flat []int
	if err := json.Unmarshal(data, &flat); err != nil {
		return err
	}
	if len(flat)%2 != 0 {
		return errors.New("ranges have a start without a length")
	}
	*r = nil
	end := 0
	for i := 0; i < len(flat); i += 2 {
		x := Range{flat[i], flat[i] + flat[i+1]}
		if x.Start < end || x.End <= x.Start || x.End > Whole {
			return errors.Newf("range %d..%d is out of order or out of bounds", x.Start, x.End)
		}
		end = x.End
		*r = append(*r, x)
	}
	return nil
}
