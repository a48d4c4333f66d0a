package edge

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/platform"
)

// Guards against permits that are requested from an instance of another failure domain until
// its entry expires, though it does not respond: a large fleet does not monitor all instances.
func TestAnAllocatorThatDoesNotRespondIsPassedOver(t *testing.T) {
	c := newTestControl(t)
	now := time.Now()
	var listed []platform.Instance
	for n := range 2 * membership.FullMeshLimit {
		address := fmt.Sprintf("10.0.0.%d:1", n)
		listed = append(listed, platform.Instance{
			Name: fmt.Sprint("w", n), Role: membership.RoleEntry, Address: address, RPCAddress: address,
			FailureDomain: "west-1", State: platform.InstanceLive,
		})
	}
	c.members.SetInstances(listed, now)
	contacts := c.members.Due(now)
	unmonitored := slices.IndexFunc(listed, func(i platform.Instance) bool {
		return !slices.ContainsFunc(contacts, func(contact membership.Target) bool { return contact.RPCAddress == i.RPCAddress })
	})
	allocator := listed[unmonitored]
	for range 60 {
		now = now.Add(100 * time.Millisecond)
		permitFailed{address: allocator.RPCAddress, err: context.DeadlineExceeded, timedOut: true}.apply(c, now)
		c.members.Due(now)
	}
	seen := c.members.Snapshot(now).ByName(allocator.Name)
	assert.Assert(t, !seen.Usable(), "health %v", seen.Health)
}
