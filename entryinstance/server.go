package entryinstance

import (
	"context"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/netutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"samphireferry.example/ferry/rpc/entrypb"
)

// ErrPlaintext means that a server without TLS was to bind an address that is
// not a loopback address.
var ErrPlaintext = errors.New("without TLS the port for entry instances binds loopback addresses only; set TLS, or allow plain text")

// Server serves the entry-instance protocol.
type Server struct {
	config Config
	grpc   *grpc.Server
}

// NewServer returns a server that serves the handler and gRPC health checks, and the
// usage protocol if the handler implements it. It returns an error if the TLS certificates and keys are not valid.
func NewServer(config Config, handler entrypb.EntryServer) (*Server, error) {
	config = config.withDefaults()
	creds, err := config.serverCredentials()
	if err != nil {
		return nil, err
	}
	s := &Server{config: config}
	s.grpc = grpc.NewServer(
		grpc.Creds(creds),
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.MaxSendMsgSize(MaxMessageBytes),
		grpc.InitialWindowSize(StreamWindowBytes),
		grpc.InitialConnWindowSize(ConnectionWindowBytes),
		grpc.MaxConcurrentStreams(MaxStreams),
		grpc.MaxHeaderListSize(maxFieldBytes),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.ConnectionTimeout(connectTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			Time:    config.KeepaliveTime,
			Timeout: config.KeepaliveTimeout,
		}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             minPingInterval,
			PermitWithoutStream: true,
		}),
		grpc.UnaryInterceptor(authorizeHeartbeat),
	)
	entrypb.RegisterEntryServer(s.grpc, handler)
	if usage, ok := handler.(entrypb.UsageServer); ok {
		entrypb.RegisterUsageServer(s.grpc, usage)
	}
	healthpb.RegisterHealthServer(s.grpc, health.NewServer())
	return s, nil
}

// Listen binds the address. It returns ErrPlaintext for an address that the
// configuration does not allow.
func Listen(config Config, address string) (net.Listener, error) {
	if err := config.checkAddress(address); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address)
	return listener, errors.Wrap(err, "port for entry instances")
}

// checkAddress returns ErrPlaintext for an address that is not a loopback
// address, unless TLS is set or plain text is allowed.
func (c Config) checkAddress(address string) error {
	bind, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Newf("%q is not an IP address and port", address)
	}
	if c.TLS != nil || c.AllowPlaintext || bind.Addr().IsLoopback() {
		return nil
	}
	return errors.Wrap(ErrPlaintext, address)
}

// Serve accepts connections until Shutdown or Close. It returns ErrPlaintext
// for a TCP listener whose address the configuration does not allow.
func (s *Server) Serve(listener net.Listener) error {
	if tcp, ok := listener.Addr().(*net.TCPAddr); ok {
		if err := s.config.checkAddress(tcp.AddrPort().String()); err != nil {
			return err
		}
	}
	if s.config.MaxConnections > 0 {
		listener = netutil.LimitListener(listener, s.config.MaxConnections)
	}
	return s.grpc.Serve(listener)
}

// Shutdown stops accepting calls, waits until the running ones have ended or ctx
// is done, and closes the connections.
func (s *Server) Shutdown(ctx context.Context) {
	stopped := make(chan struct{})
	go func() {
		s.grpc.GracefulStop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-ctx.Done():
		s.grpc.Stop()
		<-stopped
	}
}

// Close closes all connections at once.
func (s *Server) Close() { s.grpc.Stop() }

// authorizeHeartbeat rejects, with the code PermissionDenied, a heartbeat whose
// instance name does not match the sender's certificate.
func authorizeHeartbeat(ctx context.Context, req any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	if state, ok := req.(*entrypb.State); ok {
		if err := AuthorizeName(ctx, state.GetIdentity().GetName()); err != nil {
			return nil, status.Error(codes.PermissionDenied, err.Error())
		}
	}
	return next(ctx, req)
}
