package daemon

import (
	"testing"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/sharetable"
)

// TestPeerWithoutContactIsListedCandidate guards against treating listed instances
// as gone when the holder of the control lease has just started while a failure
// domain is partitioned: the instances there are on the platform's list and may
// still use their shares, although no heartbeat from them has been received.
func TestPeerWithoutContactIsListedCandidate(t *testing.T) {
	c := &control{ownership: &ownership{peers: &membership.Peers{}}}
	cases := map[string]struct {
		peer membership.Peer
		want sharetable.Candidate
	}{
		"listed, never heard": {
			membership.Peer{Address: "a", Region: "r", Listed: true, Health: membership.Alive},
			sharetable.Candidate{Name: "a", WitnessGroup: "region/r", Listed: true},
		},
		"heard": {
			membership.Peer{Address: "a", Region: "r", Listed: true, Health: membership.Alive, Incarnation: "i"},
			sharetable.Candidate{Name: "a", Incarnation: "i", WitnessGroup: "region/r", Listed: true, Reachable: true},
		},
		"silent": {
			membership.Peer{Address: "a", Region: "r", Health: membership.Silent, Incarnation: "i"},
			sharetable.Candidate{Name: "a", Incarnation: "i", WitnessGroup: "region/r"},
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, c.shareCandidate(&test.peer), test.want)
		})
	}
}
