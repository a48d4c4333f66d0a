package daemon

import (
	"time"

	"samphireferry.example/ferry/steering"
)

// directoryInterval is the minimum time between two directories that differ only
// in the loads of the instances.
const directoryInterval = 500 * time.Millisecond

// currentDirectory returns the directory for callers. It is rebuilt when the
// upstreams were divided again (instances joined, left or became silent, or the
// configuration changed), and after directoryInterval to follow the loads.
func (c *control) currentDirectory(now time.Time) *steering.Directory {
	if c.table == nil {
		return nil
	}
	sameInstances := c.directoryDivision == c.ownership.division
	if c.directory != nil && sameInstances && now.Sub(c.directoryAt) < directoryInterval {
		return c.directory
	}
	c.directory = steering.NewDirectory(c.blocks, c.table.Set, c.ownership.peers)
	c.directoryDivision = c.ownership.division
	c.directoryAt = now
	return c.directory
}
