package daemon

import (
	"testing"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/sharetable"
)

// TestUnheardPeerIsACandidateThatIsListed covers a holder of the control lease
// that has just started while a failure domain is cut off: the instances there
// are on the platform's list and may use their shares, so they are not gone.
func TestUnheardPeerIsACandidateThatIsListed(t *testing.T) {
	c := &control{owners: &ownership{peers: &membership.Peers{}}}
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
