package requestkeys

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/rpc/entrypb"
)

// Times and counts of a hand-over.
const (
	handOverCallTimeout = time.Second
	handOverRetries     = 3
	handOverRetryDelay  = 50 * time.Millisecond
)

// Errors of a hand-over.
var (
	// ErrRefused says that the receiver has discarded the copy.
	ErrRefused = errors.New("the receiver refused the claims")
	// ErrUnsettled says that it is not known whether the receiver serves the
	// keys. This home does not.
	ErrUnsettled = errors.New("it is not known whether the receiver has the claims")
	// ErrNoReceiver says that no peer has taken the claims.
	ErrNoReceiver = errors.New("no peer has taken the claims")
)

// Leave hands all claims over to peers. It is called once, when the instance
// starts to leave; the service goes on answering until the process ends. The
// claims that no peer has taken are served on or refused as gone. The error
// joins those of all homes whose claims were not handed over.
func (s *Service) Leave(ctx context.Context) error {
	s.mu.Lock()
	incarnations := s.home.HandOverIncarnations(s.now())
	s.mu.Unlock()
	var failed error
	for _, incarnation := range incarnations {
		failed = errors.CombineErrors(failed, s.handOver(ctx, incarnation))
	}
	return failed
}

// handOver tries the receivers in order until one has the claims.
func (s *Service) handOver(ctx context.Context, incarnation string) error {
	peers := s.peers()
	for _, target := range receivers(peers, incarnation, peers.Self.FailureDomain, peers.Self.Region) {
		if target.Leaving || target.Incarnation == "" || ctx.Err() != nil {
			continue
		}
		err := s.copyTo(ctx, incarnation, target)
		if err == nil || errors.Is(err, ErrUnsettled) {
			return err
		}
	}
	return ErrNoReceiver
}

// copyTo copies the claims to one peer and commits.
func (s *Service) copyTo(ctx context.Context, incarnation string, target *membership.Peer) error {
	client, err := s.clients.Client(target.RPCAddress)
	if err != nil {
		return err
	}
	s.mu.Lock()
	here := s.home.StartHandOver(incarnation, target.Incarnation, s.now())
	s.mu.Unlock()
	if !here {
		return nil
	}
	last, err := s.copyUntilCommit(ctx, client, incarnation)
	if err != nil {
		s.mu.Lock()
		s.home.AbortHandOver(incarnation)
		s.mu.Unlock()
		return err
	}
	return s.sendLast(ctx, client, incarnation, last)
}

// copyUntilCommit sends all claims, freezes, sends what changed and commits.
// It returns the last message, which is still to be sent.
func (s *Service) copyUntilCommit(ctx context.Context, client entrypb.EntryClient, incarnation string) (*entrypb.HandOverRequest, error) {
	if err := s.sendBatches(ctx, client, incarnation); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.home.Freeze(incarnation)
	s.mu.Unlock()
	for {
		if err := s.sendBatches(ctx, client, incarnation); err != nil {
			return nil, err
		}
		s.mu.Lock()
		last := s.home.Commit(incarnation, s.now())
		s.mu.Unlock()
		if last != nil {
			return last, nil
		}
	}
}

func (s *Service) sendBatches(ctx context.Context, client entrypb.EntryClient, incarnation string) error {
	for {
		s.mu.Lock()
		batch := s.home.NextBatch(incarnation, s.now())
		s.mu.Unlock()
		if batch == nil {
			return nil
		}
		accepted, err := sendHandOver(ctx, client, batch)
		if err != nil {
			return err
		}
		if !accepted {
			return ErrRefused
		}
	}
}

// sendLast sends the last message. A refusal counts only if no earlier try may
// have been accepted.
func (s *Service) sendLast(ctx context.Context, client entrypb.EntryClient, incarnation string, last *entrypb.HandOverRequest) error {
	unsure := false
	for range handOverRetries {
		accepted, err := callHandOver(ctx, client, last)
		switch {
		case err == nil && accepted:
			s.mu.Lock()
			s.home.HandOverDone(incarnation)
			s.mu.Unlock()
			return nil
		case err == nil && unsure:
			return ErrUnsettled
		case err == nil:
			return ErrRefused
		}
		unsure = true
		pause(ctx, handOverRetryDelay)
	}
	return ErrUnsettled
}

// sendHandOver sends a message until it is answered. Messages other than the
// last one may be repeated.
func sendHandOver(ctx context.Context, client entrypb.EntryClient, req *entrypb.HandOverRequest) (accepted bool, err error) {
	for range handOverRetries {
		accepted, err = callHandOver(ctx, client, req)
		if err == nil {
			return accepted, nil
		}
		pause(ctx, handOverRetryDelay)
	}
	return false, err
}

func callHandOver(ctx context.Context, client entrypb.EntryClient, req *entrypb.HandOverRequest) (bool, error) {
	callCtx, cancel := context.WithTimeout(ctx, handOverCallTimeout)
	defer cancel()
	answer, err := client.HandOver(callCtx, req)
	return answer.GetAccepted(), err
}

// pause waits for the duration or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
