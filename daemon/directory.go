package daemon

import (
	"time"

	"samphireferry.example/ferry/steering"
)

// directoryInterval is the least time between two directories that differ in
// loads only.
const directoryInterval = 500 * time.Millisecond

// currentDirectory returns the directory for callers. It is made anew when
// instances come, go or leave, and now and then to follow their loads.
func (c *control) currentDirectory(now time.Time) *steering.Directory {
	if c.table == nil {
		return nil
	}
	sameInstances := c.directoryOf == c.owners.division
	if c.directory != nil && sameInstances && now.Sub(c.directoryAt) < directoryInterval {
		return c.directory
	}
	c.directory = steering.NewDirectory(c.blocks, c.table.Set, c.owners.peers)
	c.directoryOf = c.owners.division
	c.directoryAt = now
	return c.directory
}
