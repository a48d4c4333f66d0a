package requestkeys

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/rpc/entrypb"
)

// Clients provides RPC clients of other entry instances by RPC address.
type Clients interface {
	Client(rpcAddress string) (entrypb.EntryClient, error)
}

// Service is a Home protected by a lock, with the gRPC methods of the
// entry-instance protocol that concern keys. It is safe for concurrent use.
type Service struct {
	mu      sync.Mutex
	home    *Home
	now     func() time.Time
	peers   func() *membership.Peers
	clients Clients
}

// NewService returns a service of a new home. The function now returns the
// current time; peers returns the latest snapshot of the other instances.
func NewService(config Config, now func() time.Time, peers func() *membership.Peers, clients Clients) *Service {
	return &Service{home: NewHome(config, now()), now: now, peers: peers, clients: clients}
}

// HomeName returns the home name to issue to callers now, or an empty string
// once the home has started to hand over its claims.
func (s *Service) HomeName() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.home.Name(s.now())
}

// Claims returns the number of claims held.
func (s *Service) Claims() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.home.Claims()
}

// Holds reports whether this home has the complete claims of the incarnation's
// keys, or has committed their hand-over and knows the receiver.
func (s *Service) Holds(incarnation string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.home.Holds(incarnation)
}

// Claim serves the Claim call. It rejects a malformed claim with
// codes.InvalidArgument.
func (s *Service) Claim(_ context.Context, req *entrypb.ClaimRequest) (*entrypb.ClaimResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	response := s.home.Claim(req, s.now())
	if response.GetState() == entrypb.ClaimState_CLAIM_UNSPECIFIED {
		return nil, status.Error(codes.InvalidArgument, "malformed claim")
	}
	return response, nil
}

// Complete serves the Complete call. It forwards the message if the claims
// have been handed over. It fails with codes.FailedPrecondition if the claims
// are not here and their receiver is unknown.
func (s *Service) Complete(ctx context.Context, req *entrypb.CompleteRequest) (*entrypb.CompleteResponse, error) {
	s.mu.Lock()
	movedTo, here := s.home.Complete(req, s.now())
	s.mu.Unlock()
	if here {
		return &entrypb.CompleteResponse{}, nil
	}
	peer := s.peers().ByIncarnation(movedTo)
	if movedTo == "" || peer == nil {
		return nil, status.Error(codes.FailedPrecondition, "the claims are not here")
	}
	client, err := s.clients.Client(peer.RPCAddress)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return client.Complete(ctx, req)
}

// HandOver serves the HandOver call. It fails with codes.FailedPrecondition if
// the message is malformed or for another incarnation.
func (s *Service) HandOver(_ context.Context, req *entrypb.HandOverRequest) (*entrypb.HandOverResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	accepted, err := s.home.AcceptHandOver(req, s.now())
	if err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	return &entrypb.HandOverResponse{Accepted: accepted}, nil
}
