package daemon

import (
	"context"
	"slices"
	"time"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/steering"
)

// blocksTimeout is the timeout of the context in which a table of client blocks is
// built. The build doesn't check its context and is not interrupted.
const blocksTimeout = time.Minute

// buildBlocks builds the table of client blocks in the background if the list has
// changed, since a large table takes seconds to build. The old table stays in use
// until the new one is ready.
func (c *control) buildBlocks(list []dynamic.ClientBlock) {
	if slices.EqualFunc(list, c.blockList, sameBlock) {
		return
	}
	c.blockList = list
	c.background(blocksTimeout, func(context.Context) event {
		blocks, err := steering.NewBlocks(list)
		if err != nil {
			c.deps.log.Error("client blocks cannot be read", errorField(err))
			return nil
		}
		return blocksBuilt{list: list, blocks: blocks}
	})
}

func sameBlock(a, b dynamic.ClientBlock) bool {
	return a.Prefix == b.Prefix && slices.Equal(a.FailureDomains, b.FailureDomains)
}

// blocksBuilt is the event with a new table of client blocks.
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
