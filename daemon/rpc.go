package daemon

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"samphireferry.example/ferry/admission"
	"samphireferry.example/ferry/relay"
	"samphireferry.example/ferry/requestkeys"
	"samphireferry.example/ferry/rpc/entrypb"
)

// entryServer serves the other entry instances.
type entryServer struct {
	entrypb.UnimplementedEntryServer
	parts *parts
	loop  *loop
	relay *relay.Server
	keys  *requestkeys.Service
}

// Heartbeat implements entrypb.EntryServer.
func (s *entryServer) Heartbeat(_ context.Context, state *entrypb.State) (*entrypb.State, error) {
	own := s.parts.state.Load()
	if own == nil {
		return nil, status.Error(codes.Unavailable, "the instance is starting")
	}
	s.loop.post(heartbeatReceived{state})
	return own, nil
}

// GetConfig implements entrypb.EntryServer.
func (s *entryServer) GetConfig(ctx context.Context, request *entrypb.GetConfigRequest) (*entrypb.GetConfigResponse, error) {
	answer := make(chan *entrypb.GetConfigResponse, 1)
	s.loop.post(recordsWanted{request: request, answer: answer})
	select {
	case response := <-answer:
		return response, nil
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

// recordsWanted is the request of a peer for newer records.
type recordsWanted struct {
	request *entrypb.GetConfigRequest
	answer  chan<- *entrypb.GetConfigResponse
}

func (e recordsWanted) apply(c *control, now time.Time) {
	response := &entrypb.GetConfigResponse{
		Records:    c.moves.NewerThan(e.request.GetSteps()),
		StoreAgeMs: uint64(now.Sub(c.storeHeard).Milliseconds()),
	}
	for key, value := range c.rollouts.Driver().NewerThan(e.request.GetSteps()) {
		response.Records[key] = value
	}
	if c.configVersion() > e.request.GetConfigVersion() {
		response.Config = c.configData
	}
	if c.member.Version() > e.request.GetShareVersion() {
		response.ShareTable = c.shareData
	}
	e.answer <- response
}

// Lend implements entrypb.EntryServer.
func (s *entryServer) Lend(_ context.Context, request *entrypb.LendRequest) (*entrypb.LendResponse, error) {
	grants := s.parts.limiter.Lend(time.Now(), itemsOf(request))
	return lendResponse(grants), nil
}

func lendResponse(grants []admission.Grant) *entrypb.LendResponse {
	response := &entrypb.LendResponse{}
	for _, g := range grants {
		response.Grants = append(response.Grants, &entrypb.TokenGrant{
			Customer:  g.Customer,
			Reserve:   g.Reserve,
			Spend:     g.Spend,
			Remaining: g.Remaining,
		})
	}
	return response
}

// Relay implements entrypb.EntryServer.
func (s *entryServer) Relay(stream entrypb.Entry_RelayServer) error { return s.relay.Serve(stream) }

// Claim implements entrypb.EntryServer.
func (s *entryServer) Claim(ctx context.Context, request *entrypb.ClaimRequest) (*entrypb.ClaimResponse, error) {
	return s.keys.Claim(ctx, request)
}

// Complete implements entrypb.EntryServer.
func (s *entryServer) Complete(ctx context.Context, request *entrypb.CompleteRequest) (*entrypb.CompleteResponse, error) {
	return s.keys.Complete(ctx, request)
}

// HandOver implements entrypb.EntryServer.
func (s *entryServer) HandOver(ctx context.Context, request *entrypb.HandOverRequest) (*entrypb.HandOverResponse, error) {
	return s.keys.HandOver(ctx, request)
}
