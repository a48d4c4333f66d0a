package daemon

import (
	"context"
	"slices"
	"time"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/steering"
)

// blocksTimeout bounds the building of a table of client blocks. It is not
// interrupted; the bound ends with the instance.
const blocksTimeout = time.Minute

// buildBlocks builds the table of client blocks in the background when they
// have changed, since a large one takes seconds. Until then the old one is used.
func (c *control) buildBlocks(list []dynamic.ClientBlock) {
	if slices.EqualFunc(list, c.blockList, sameBlock) {
		return
	}
	c.blockList = list
	c.background(blocksTimeout, func(context.Context) event {
		blocks, err := steering.NewBlocks(list)
		if err != nil {
			c.parts.log.Error("client blocks cannot be read", errorField(err))
			return nil
		}
		return blocksBuilt{list: list, blocks: blocks}
	})
}

func sameBlock(a, b dynamic.ClientBlock) bool {
	return a.Prefix == b.Prefix && slices.Equal(a.FailureDomains, b.FailureDomains)
}

// blocksBuilt is a new table of client blocks.
type blocksBuilt struct {
	list   []dynamic.ClientBlock
	blocks *steering.Blocks
}

func (e blocksBuilt) apply(c *control, _ time.Time) {
	if !slices.EqualFunc(e.list, c.blockList, sameBlock) {
		return
	}
	c.blocks = e.blocks
	c.directory = nil
	c.dirty = true
}
