package splitting

import (
	"math/big"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphireferry.example/ferry/invariant"
)

func TestChosenNeverExceedsTheShareAtAnyPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checker := &invariant.Checker{}
		s := NewSplitter(checker)
		earned := new(big.Rat)
		var chosen int64
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			share := rapid.Float64Range(0, 1).Draw(t, "share")
			s.SetShare(share)
			exact := new(big.Rat).SetFloat64(share)
			for range rapid.IntRange(0, 200).Draw(t, "requests") {
				earned.Add(earned, exact)
				if s.Next() {
					chosen++
				}
				assert.Assert(t, new(big.Rat).SetInt64(chosen).Cmp(earned) <= 0)
			}
		}
		assert.Equal(t, checker.Total(), int64(0))
		// The accumulator holds back less than one request, and rounding the shares down
		// loses less than 0.01 requests.
		missing := new(big.Rat).Sub(earned, new(big.Rat).SetInt64(chosen))
		assert.Assert(t, missing.Cmp(big.NewRat(101, 100)) < 0)
	})
}

func TestConcurrentRequestsStayUnderTheCap(t *testing.T) {
	checker := &invariant.Checker{}
	s := NewSplitter(checker)
	s.SetShare(0.3)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 10_000 {
				s.Next()
			}
		})
	}
	wg.Wait()
	total, chosen := s.Counts()
	assert.Equal(t, total, uint64(80_000))
	assert.Assert(t, chosen == 23_999 || chosen == 24_000, "chosen %d", chosen)
	assert.Equal(t, checker.Total(), int64(0))
}

func TestLowerShareAppliesToEarlierSnapshots(t *testing.T) {
	r := NewRegistry(nil)
	share := VersionShare{Name: "r", Service: "s", From: "v1", To: "v2", Share: 1, Routes: []string{"a", "b"}}
	earlier := r.Build([]VersionShare{share}, nil)
	version, isNew := earlier.Version("s").Next("a")
	assert.Assert(t, isNew)
	assert.Equal(t, version, "v2")

	share.Share = 0
	r.Build([]VersionShare{share}, nil)
	_, isNew = earlier.Version("s").Next("a")
	assert.Assert(t, !isNew)

	share.Share = 1
	r.Build([]VersionShare{share}, nil)
	r.Build(nil, nil)
	_, isNew = earlier.Version("s").Next("b")
	assert.Assert(t, !isNew, "a split that is no longer requested")
}

func TestAlternatingRoutesAreSplitEqually(t *testing.T) {
	snapshot := NewRegistry(nil).Build([]VersionShare{{
		Name: "r", Service: "s", From: "v1", To: "v2", Share: 0.5, Routes: []string{"a", "b"},
	}}, nil)
	chosen := map[string]int{}
	for range 100 {
		for _, route := range []string{"a", "b"} {
			if _, isNew := snapshot.Version("s").Next(route); isNew {
				chosen[route]++
			}
		}
	}
	assert.DeepEqual(t, chosen, map[string]int{"a": 50, "b": 50})
}

func TestSeveralMovesOfOneSource(t *testing.T) {
	snapshot := NewRegistry(nil).Build(nil, []DomainShare{
		{Name: "m1", Service: "s", From: "a", To: "b", Share: 0.5},
		{Name: "m2", Service: "s", From: "a", To: "c", Share: 0.5},
	})
	counts := map[string]int{}
	for range 100 {
		domain, _ := snapshot.Domain("s", "a")
		counts[domain]++
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 25, "b": 50, "c": 25})
	assert.Assert(t, snapshot.IsDestination("s", "a", "c"))
	assert.Assert(t, !snapshot.IsDestination("s", "b", "c"))
	domain, moved := snapshot.Domain("s", "b")
	assert.Assert(t, !moved)
	assert.Equal(t, domain, "b")
}

func BenchmarkNext(b *testing.B) {
	s := NewSplitter(&invariant.Checker{})
	s.SetShare(0.1)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			s.Next()
		}
	})
}
