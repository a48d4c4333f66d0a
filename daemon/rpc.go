package daemon

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"samphireferry.example/ferry/lending"
	"samphireferry.example/ferry/relay"
	"samphireferry.example/ferry/requestkeys"
	"samphireferry.example/ferry/rpc/entrypb"
)

// entryServer implements the RPC service for peers.
type entryServer struct {
	entrypb.UnimplementedEntryServer
	deps  *dependencies
	loop  *loop
	relay *relay.Server
	keys  *requestkeys.Service
}

// Heartbeat implements entrypb.EntryServer.
func (s *entryServer) Heartbeat(_ context.Context, state *entrypb.State) (*entrypb.State, error) {
	local := s.deps.state.Load()
	if local == nil {
		return nil, status.Error(codes.Unavailable, "the instance is starting")
	}
	s.loop.post(heartbeatReceived{state})
	return withGrants(local, s.deps.views.load().pools, state.GetIdentity().GetName()), nil
}

// GetConfig implements entrypb.EntryServer.
func (s *entryServer) GetConfig(_ context.Context, request *entrypb.GetConfigRequest) (*entrypb.GetConfigResponse, error) {
	return s.deps.dist.Snapshot().Respond(request, time.Now()), nil
}

// Lend implements entrypb.EntryServer.
func (s *entryServer) Lend(_ context.Context, request *entrypb.LendRequest) (*entrypb.LendResponse, error) {
	return lending.Lend(s.deps.limiter, request), nil
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
