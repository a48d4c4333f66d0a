package buffers

import (
	"container/list"
	"math/bits"
)

const (
	// stepBits sets the resolution of an index: sizes that differ by less than an eighth count as equal.
	stepBits = 3
	// classCount is the number of classes of sizes up to 63 bits.
	classCount = 64 << stepBits
)

// classOf returns the class of a size.
func classOf(size int64) int {
	n := bits.Len64(uint64(size))
	if n <= stepBits {
		return int(size)
	}
	return n<<stepBits | int(size>>(n-1-stepBits))&(1<<stepBits-1)
}

// index finds the largest of many holders, and of those of about the same size the one that has had it for
// longest. It does so in a time that does not depend on their number.
type index struct {
	classes [classCount]*list.List
}

// place is where a holder is in an index. The zero value is that of a holder that is not in it.
type place struct {
	class   int
	element *list.Element
}

// set puts the holder into the class of its size, or removes it for the size 0.
func (x *index) set(p *place, h *Holder, size int64) {
	class := classOf(size)
	if p.element != nil {
		if class == p.class {
			return
		}
		x.classes[p.class].Remove(p.element)
	}
	*p = place{}
	if size == 0 {
		return
	}
	if x.classes[class] == nil {
		x.classes[class] = list.New()
	}
	*p = place{class: class, element: x.classes[class].PushBack(h)}
}

// largest returns the largest holder, or nil.
func (x *index) largest() *Holder {
	for n := classCount - 1; n >= 0; n-- {
		if l := x.classes[n]; l != nil && l.Len() > 0 {
			return l.Front().Value.(*Holder)
		}
	}
	return nil
}
