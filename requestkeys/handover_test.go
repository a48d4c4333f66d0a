package requestkeys

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/rpc/entrypb"
)

// committedHandOver returns a home with a running, a done and a released claim,
// and the messages of its committed hand-over to "r".
func committedHandOver(t *testing.T) (h *Home, batch, last *entrypb.HandOverRequest) {
	h = NewHome(Config{Incarnation: "h"}, epoch)
	for _, s := range []step{
		{claimant: "a", key: "h~0.running", want: claimed},
		{claimant: "a", key: "h~0.done", want: claimed},
		{claimant: "a", key: "h~0.done", result: ran},
		{claimant: "a", key: "h~0.released", result: notRun},
	} {
		assert.Equal(t, s.apply(h), s.want)
	}
	assert.Assert(t, h.StartHandOver("h", "r", epoch))
	assert.Assert(t, h.Commit("h", epoch) == nil, "no commit before the claims are sent")
	batch = h.NextBatch("h", epoch)
	assert.Assert(t, h.NextBatch("h", epoch) == nil)
	h.Freeze("h")
	assert.Equal(t, step{claimant: "z", key: "h~0.new"}.apply(h), notHome, "a frozen home grants nothing")
	assert.Equal(t, step{claimant: "z", key: "h~0.done"}.apply(h), isDone, "a frozen home decides repeats")
	last = h.Commit("h", epoch)
	h.AbortHandOver("h")
	assert.Equal(t, step{claimant: "z", key: "h~0.new"}.apply(h), notHome, "a commit is final")
	return h, batch, last
}

// accepts delivers a message and reports whether it was accepted.
func accepts(receiver *Home, req *entrypb.HandOverRequest) bool {
	accepted, _ := receiver.AcceptHandOver(req, epoch)
	return accepted
}

func TestHandOverFaults(t *testing.T) {
	_, batch, last := committedHandOver(t)
	olderAttempt := &entrypb.HandOverRequest{Home: handOverID{incarnation: "h", attempt: 0, target: "r"}.String()}
	otherHome := &entrypb.HandOverRequest{Home: batch.Home, Claims: []*entrypb.ClaimRecord{{Key: "x~0.k"}}}
	olderState := &entrypb.HandOverRequest{Home: batch.Home, Claims: []*entrypb.ClaimRecord{
		{Key: "h~0.done", Customer: "mit", Fingerprint: []byte("f"), Claimant: "a", State: running},
	}}
	tests := []struct {
		name     string
		messages []*entrypb.HandOverRequest
		leaving  bool
		// serves is set if the receiver has the claims in the end.
		serves bool
	}{
		{"complete", []*entrypb.HandOverRequest{batch, last}, false, true},
		{"repeated", []*entrypb.HandOverRequest{batch, batch, last, last, batch}, false, true},
		{"of an older attempt", []*entrypb.HandOverRequest{batch, olderAttempt, last}, false, true},
		{"last one lost", []*entrypb.HandOverRequest{batch}, false, false},
		{"batch lost", []*entrypb.HandOverRequest{last}, false, false},
		{"batch after a refusal", []*entrypb.HandOverRequest{last, batch, last}, false, false},
		{"older state of a claim arrives late", []*entrypb.HandOverRequest{batch, olderState, last}, false, false},
		{"claim of another home", []*entrypb.HandOverRequest{otherHome, batch, last}, false, false},
		{"receiver is leaving", []*entrypb.HandOverRequest{batch, last}, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			receiver := NewHome(Config{Incarnation: "r", Invariants: &invariant.Checker{}}, epoch)
			if test.leaving {
				receiver.HandOverIncarnations(epoch)
			}
			for _, message := range test.messages {
				accepts(receiver, message)
			}
			assert.Equal(t, receiver.Holds("h"), test.serves)
			if !test.serves {
				assert.Equal(t, step{claimant: "b", key: "h~0.new"}.apply(receiver), notHome)
				return
			}
			for _, s := range []step{
				{claimant: "b", key: "h~0.running", want: running},
				{claimant: "a", key: "h~0.running", want: claimed},
				{claimant: "b", key: "h~0.done", want: isDone},
				{claimant: "a", key: "h~0.released", want: running},
				{claimant: "b", key: "h~0.released", want: claimed},
				{claimant: "b", key: "h~0.new", want: claimed},
				{claimant: "b", key: "h~1.new", want: Expired},
			} {
				assert.Equal(t, s.apply(receiver), s.want, s.key)
			}
			assert.Equal(t, receiver.config.Invariants.Total(), int64(0))
		})
	}
	_, err := NewHome(Config{Incarnation: "s"}, epoch).AcceptHandOver(last, epoch)
	assert.Assert(t, errors.Is(err, ErrWrongTarget))
}

// scriptedPeer responds to the last message of a hand-over with scripted results
// and accepts all other messages.
type scriptedPeer struct {
	entrypb.EntryClient
	script       []error
	lastMessages int
}

func (p *scriptedPeer) HandOver(_ context.Context, req *entrypb.HandOverRequest, _ ...grpc.CallOption) (*entrypb.HandOverResponse, error) {
	if !req.GetLast() {
		return &entrypb.HandOverResponse{Accepted: true}, nil
	}
	err := p.script[min(p.lastMessages, len(p.script)-1)]
	p.lastMessages++
	if errors.Is(err, errRefuse) {
		return &entrypb.HandOverResponse{}, nil
	}
	return &entrypb.HandOverResponse{Accepted: true}, err
}

// scriptedPeers maps addresses to peers.
type scriptedPeers map[string]*scriptedPeer

func (p scriptedPeers) Client(address string) (entrypb.EntryClient, error) { return p[address], nil }

var (
	errRefuse = errors.New("refuse")
	errLost   = errors.New("lost")
)

// TestLastMessage checks that another receiver is tried only if the first one
// cannot be serving. If another one were tried after the response to the last
// message was lost, two homes could grant the same key.
func TestLastMessage(t *testing.T) {
	tests := []struct {
		name           string
		firstResults   []error
		want           error
		secondReceived int
	}{
		{"accepted", []error{nil}, nil, 0},
		{"refused", []error{errRefuse}, nil, 1},
		{"response lost, then accepted", []error{errLost, nil}, nil, 0},
		{"response lost, then refused", []error{errLost, errRefuse}, ErrHandOverUnconfirmed, 0},
		{"all responses lost", []error{errLost}, ErrHandOverUnconfirmed, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clients := scriptedPeers{"p0": {script: test.firstResults}, "p1": {script: []error{nil}}}
			var all []*membership.Peer
			for address := range clients {
				all = append(all, &membership.Peer{Name: address, Incarnation: address, RPCAddress: address, FailureDomain: "d"})
			}
			peers := membership.NewPeers(membership.Peer{FailureDomain: "d"}, all)
			// The order of these receivers depends only on the incarnation.
			incarnation := "h"
			for receivers(peers, incarnation, "d", "")[0].Name != "p0" {
				incarnation += "h"
			}
			s := NewService(Config{Incarnation: incarnation}, clock, func() *membership.Peers { return peers }, clients)
			err := s.Leave(context.Background())
			assert.Assert(t, errors.Is(err, test.want), "%v", err)
			assert.Equal(t, clients["p1"].lastMessages, test.secondReceived)
			response, err := s.Claim(context.Background(), &entrypb.ClaimRequest{Key: HomeName(incarnation, 0) + ".k", Claimant: "a"})
			assert.NilError(t, err)
			assert.Equal(t, response.GetState(), notHome)
		})
	}
}
