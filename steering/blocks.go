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
	// table holds indices into domains, because few of the lists of failure
	// domains differ.
	table   *bart.Table[uint32]
	domains [][]string
}

// NewBlocks returns the table of the blocks. It fails on a malformed prefix
// and on two blocks with the same prefix.
func NewBlocks(blocks []dynamic.ClientBlock) (*Blocks, error) {
	b := &Blocks{table: &bart.Table[uint32]{}}
	lists := map[string]uint32{}
	for _, block := range blocks {
		prefix, err := netip.ParsePrefix(block.Prefix)
		if err != nil {
			return nil, errors.Newf("client block %s: %q is not an IP prefix", block.Name, block.Prefix)
		}
		size := b.table.Size()
		b.table.Insert(prefix.Masked(), b.list(lists, block.FailureDomains))
		if b.table.Size() == size {
			return nil, errors.Newf("client block %s: another block has the prefix %s", block.Name, prefix.Masked())
		}
	}
	return b, nil
}

// list returns the index of the list of failure domains.
func (b *Blocks) list(lists map[string]uint32, domains []string) uint32 {
	text := strings.Join(domains, "\x00")
	index, ok := lists[text]
	if !ok {
		index = uint32(len(b.domains))
		b.domains = append(b.domains, domains)
		lists[text] = index
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
// address, best first. The slice must not be changed.
func (b *Blocks) Lookup(address netip.Addr) ([]string, bool) {
	if b.table == nil {
		return nil, false
	}
	index, ok := b.table.Lookup(address.Unmap().WithZone(""))
	if !ok {
		return nil, false
	}
	return b.domains[index], true
}
