package distribution

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestTimeInForceByDomainSize publishes versions in one failure domain and logs
// the simulated time until every instance has them. Each instance starts 5
// heartbeat exchanges per second, each with a random instance.
func TestTimeInForceByDomainSize(t *testing.T) {
	const bound = 4 * time.Second
	for _, size := range []int{10, 55, 110} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 1, 1, size)
			defer f.stop()
			f.run(10 * time.Second)
			sum, longest := time.Duration(0), time.Duration(0)
			const versions = 20
			for version := uint64(1); version <= versions; version++ {
				f.run(time.Duration(f.random.IntN(3000)) * time.Millisecond)
				f.publish(version)
				took := time.Duration(0)
				for ; !f.allHaveVersion(version) && took <= bound; took += tick {
					f.run(tick)
				}
				sum += took
				longest = max(longest, took)
			}
			t.Logf("%d instances: mean %s, longest %s of %d versions", size, sum/versions, longest, versions)
			assert.Assert(t, longest <= bound)
		})
	}
}

func (f *fleet) allHaveVersion(version uint64) bool {
	for _, n := range f.nodes {
		if n.version < version {
			return false
		}
	}
	return true
}
