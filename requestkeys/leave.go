package requestkeys

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/rpc/entrypb"
)

// Timeouts and retries of a hand-over.
const (
	handOverCallTimeout = time.Second
	handOverRetries     = 3
	handOverRetryDelay  = 50 * time.Millisecond
)

// Errors returned by Service.Leave.
var (
	// ErrHandOverRefused reports that the receiver has discarded the copy.
	ErrHandOverRefused = errors.New("the receiver refused the claims")
	// ErrHandOverUnconfirmed reports that it is unknown whether the receiver
	// serves the keys. This home no longer does.
	ErrHandOverUnconfirmed = errors.New("it is unknown whether the receiver has the claims")
	// ErrNoReceiver reports that no peer has accepted the claims.
	ErrNoReceiver = errors.New("no peer has accepted the claims")
)

// Leave hands over all claims to peers. It is called once, when the instance
// starts to leave; the service continues to respond until the process ends. The
// claims that no peer has accepted are still served here or, after a commit,
// refused because their home is gone. The error combines the errors of all homes
// whose claims were not handed over: ErrNoReceiver or ErrHandOverUnconfirmed.
func (s *Service) Leave(ctx context.Context) error {
	s.mu.Lock()
	incarnations := s.home.HandOverIncarnations(s.now())
	s.mu.Unlock()
	var errs error
	for _, incarnation := range incarnations {
		errs = errors.CombineErrors(errs, s.handOver(ctx, incarnation))
	}
	return errs
}

// handOver tries the receivers in order until one has the claims.
func (s *Service) handOver(ctx context.Context, incarnation string) error {
	peers := s.peers()
	for _, target := range receivers(peers, incarnation, peers.Self.FailureDomain, peers.Self.Region) {
		if target.Leaving || target.Incarnation == "" || ctx.Err() != nil {
			continue
		}
		err := s.copyTo(ctx, incarnation, target)
		if err == nil || errors.Is(err, ErrHandOverUnconfirmed) {
			return err
		}
	}
	return ErrNoReceiver
}

// copyTo copies the claims of the incarnation to one peer and commits the
// hand-over. It returns nil if this instance no longer holds the claims.
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

// copyUntilCommit sends all claims, freezes the home, sends the claims that have
// changed meanwhile, and commits. It returns the last message, which is still to
// be sent.
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

// sendBatches sends the claims that are queued to be copied.
func (s *Service) sendBatches(ctx context.Context, client entrypb.EntryClient, incarnation string) error {
	for {
		s.mu.Lock()
		batch := s.home.NextBatch(incarnation, s.now())
		s.mu.Unlock()
		if batch == nil {
			return nil
		}
		accepted, err := sendHandOverWithRetries(ctx, client, batch)
		if err != nil {
			return err
		}
		if !accepted {
			return ErrHandOverRefused
		}
	}
}

// sendLast sends the last message. A refusal is conclusive only if no earlier
// call may have been accepted.
func (s *Service) sendLast(ctx context.Context, client entrypb.EntryClient, incarnation string, last *entrypb.HandOverRequest) error {
	mayBeAccepted := false
	for range handOverRetries {
		accepted, err := callHandOver(ctx, client, last)
		switch {
		case err == nil && accepted:
			s.mu.Lock()
			s.home.FinishHandOver(incarnation)
			s.mu.Unlock()
			return nil
		case err == nil && mayBeAccepted:
			return ErrHandOverUnconfirmed
		case err == nil:
			return ErrHandOverRefused
		}
		mayBeAccepted = true
		pause(ctx, handOverRetryDelay)
	}
	return ErrHandOverUnconfirmed
}

// sendHandOverWithRetries sends a message until the receiver responds, at most
// handOverRetries times. It is for messages other than the last one, which may
// be repeated.
func sendHandOverWithRetries(ctx context.Context, client entrypb.EntryClient, req *entrypb.HandOverRequest) (accepted bool, err error) {
	for range handOverRetries {
		accepted, err = callHandOver(ctx, client, req)
		if err == nil {
			return accepted, nil
		}
		pause(ctx, handOverRetryDelay)
	}
	return false, err
}

// callHandOver sends a message once and returns whether it was accepted.
func callHandOver(ctx context.Context, client entrypb.EntryClient, req *entrypb.HandOverRequest) (bool, error) {
	callCtx, cancel := context.WithTimeout(ctx, handOverCallTimeout)
	defer cancel()
	response, err := client.HandOver(callCtx, req)
	return response.GetAccepted(), err
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
