package steering

import (
	"net/netip"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/gaissmai/bart"

	"samphireferry.example/ferry/config/dynamic"
)

// Blocks is an immutable table of client blocks. The zero value has none.
type Blocks struct {
	// table holds indices into domainLists, because many blocks share the same
	// list of failure domains.
	table       *bart.Table[uint32]
	domainLists [][]string
}

// NewBlocks returns the table of the given blocks. It returns an error for a
// malformed prefix and for two blocks with the same prefix.
func NewBlocks(blocks []dynamic.ClientBlock) (*Blocks, error) {
	b := &Blocks{table: &bart.Table[uint32]{}}
	indices := map[string]uint32{}
	for _, block := range blocks {
		prefix, err := netip.ParsePrefix(block.Prefix)
		if err != nil {
			return nil, errors.Newf("client block %s: %q is not an IP prefix", block.Name, block.Prefix)
		}
		size := b.table.Size()
		b.table.Insert(prefix.Masked(), b.domainListIndex(indices, block.FailureDomains))
		if b.table.Size() == size {
			return nil, errors.Newf("client block %s: another block has the prefix %s", block.Name, prefix.Masked())
		}
	}
	return b, nil
}

// domainListIndex returns the index of the list of failure domains, which it
// adds if it is new. Indices maps the joined names of each list to its index.
func (b *Blocks) domainListIndex(indices map[string]uint32, domains []string) uint32 {
	key := strings.Join(domains, "\x00")
	index, ok := indices[key]
	if !ok {
		index = uint32(len(b.domainLists))
		b.domainLists = append(b.domainLists, domains)
		indices[key] = index
	}
	return index
}

// Len returns the number of blocks.
func (b *Blocks) Len() int {
	if b.table == nil {
		return 0
	}
	return b.table.Size()
}

// Lookup returns the failure domains of the longest prefix that contains the
// address, in order of preference, or false if no prefix does. The caller must
// not change the slice.
func (b *Blocks) Lookup(address netip.Addr) ([]string, bool) {
	if b.table == nil {
		return nil, false
	}
	index, ok := b.table.Lookup(address.Unmap().WithZone(""))
	if !ok {
		return nil, false
	}
	return b.domainLists[index], true
}
