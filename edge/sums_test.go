package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/rpc/entrypb"
)

func TestOnlyNewerSumsAreMerged(t *testing.T) {
	now := time.Now()
	d := newDomainSums("own")
	sum := func(domain string, age, milli uint32) *entrypb.DomainSum {
		return &entrypb.DomainSum{
			FailureDomain: domain,
			AgeMs:         uint64(age),
			Demands:       &entrypb.Demands{Customers: []uint32{1}, MilliPerSecond: []uint32{milli}},
		}
	}
	assert.DeepEqual(t, d.merge(now, []*entrypb.DomainSum{sum("far", 100, 1), sum("own", 0, 2)}), []string{"far"})
	assert.Equal(t, len(d.merge(now, []*entrypb.DomainSum{sum("far", 500, 3)})), 0)
	assert.DeepEqual(t, d.merge(now, []*entrypb.DomainSum{sum("far", 50, 4)}), []string{"far"})
	later := now.Add(time.Second)
	passedOn := d.messages(later)
	assert.Equal(t, len(passedOn), 1)
	assert.Equal(t, passedOn[0].GetAgeMs(), uint64(1050))
	assert.Equal(t, passedOn[0].GetDemands().GetMilliPerSecond()[0], uint32(4))
}

func TestCountsOfADomainAddUp(t *testing.T) {
	counts := map[countKey]*entrypb.VersionCount{}
	for _, m := range []*entrypb.VersionCount{
		{Service: "s", Route: "r", Order: 7, Version: "2", Answers: 3, Failures: 1},
		{Service: "s", Route: "r", Order: 7, Version: "2", Answers: 4},
		{Service: "s", Route: "r", Order: 7, Answers: 9},
	} {
		addCount(counts, m)
	}
	assert.Equal(t, len(counts), 2)
	fresh := counts[countKey{service: "s", route: "r", order: 7, version: "2"}]
	assert.Equal(t, fresh.GetAnswers(), uint32(7))
	assert.Equal(t, fresh.GetFailures(), uint32(1))
}
