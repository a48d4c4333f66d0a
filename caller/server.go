package caller

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"go.uber.org/zap"
	"golang.org/x/net/netutil"

	"samphireferry.example/ferry/telemetry"
)

// Settings bound what callers can ask of one entry instance.
type Settings struct {
	// MaxHeaderBytes bounds the request header. Default 32 KiB.
	MaxHeaderBytes int
	// MaxConnections bounds the open connections. Default 10,000.
	MaxConnections int
	// HeaderTimeout bounds the time to send a request header. Default 5 s.
	HeaderTimeout time.Duration
	// BodyTimeout bounds the pause between two parts of a request body.
	// Default 5 s.
	BodyTimeout time.Duration
	// IdleTimeout bounds the time that a connection stays open unused.
	// Default 90 s.
	IdleTimeout time.Duration
	// LeaveDelay is the time between the mark as leaving and the closing of
	// the listener, in which callers learn of it. Default 2 s.
	LeaveDelay time.Duration
	// MaxRecordedBody bounds the answer kept with an idempotency key, in
	// bytes. Default 64 KiB.
	MaxRecordedBody int
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		MaxHeaderBytes:  32 << 10,
		MaxConnections:  10_000,
		HeaderTimeout:   5 * time.Second,
		BodyTimeout:     5 * time.Second,
		IdleTimeout:     90 * time.Second,
		LeaveDelay:      2 * time.Second,
		MaxRecordedBody: 64 << 10,
	}
}

// Services are what the server needs from the rest of the entry instance.
type Services struct {
	Tables         Tables
	Admitter       Admitter
	Freshness      Freshness
	Dispatcher     Dispatcher
	Claims         Claims
	EntryInstances EntryInstances
	Metrics        *telemetry.Metrics
	Log            *zap.Logger
}

// Server serves callers. Provision starts it and Cleanup ends it gracefully.
type Server struct {
	settings Settings
	services Services
	api      http.Handler
	http     *http.Server
	listener net.Listener
	leaving  atomic.Bool
	done     chan struct{}
	// latency counts the seconds from the request to the end of its answer.
	latency *metrics.Histogram
}

// NewServer returns a server that is not started.
func NewServer(settings Settings, services Services) *Server {
	s := &Server{
		settings: settings,
		services: services,
		done:     make(chan struct{}),
		latency:  services.Metrics.Histogram("ferry_request_seconds"),
	}
	s.api = s.newAPI()
	s.http = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: settings.HeaderTimeout,
		IdleTimeout:       settings.IdleTimeout,
		MaxHeaderBytes:    settings.MaxHeaderBytes,
		ErrorLog:          zap.NewStdLog(services.Log.Named("http")),
	}
	return s
}

// Provision starts to serve on the listener.
func (s *Server) Provision(listener net.Listener) {
	s.listener = netutil.LimitListener(listener, s.settings.MaxConnections)
	go func() {
		defer close(s.done)
		err := s.http.Serve(s.listener)
		if err != nil && !errors.Is(err, http.ErrServerClosed) {
			s.services.Log.Error("caller server stopped", zap.Error(err))
		}
	}()
}

// Leave marks the server as leaving: each answer closes its connection.
func (s *Server) Leave() { s.leaving.Store(true) }

// Cleanup waits for LeaveDelay, closes the listener and waits until the
// running requests are answered or the context ends.
func (s *Server) Cleanup(ctx context.Context) error {
	s.Leave()
	select {
	case <-time.After(s.settings.LeaveDelay):
	case <-ctx.Done():
	}
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	<-s.done
	return errors.Wrap(err, "requests were cut at the end of the shutdown timeout")
}

// Close closes the listener and all connections at once.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.done
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if isAPIPath(r.URL.Path) {
		s.api.ServeHTTP(w, r)
		return
	}
	s.serveTraffic(w, r)
}

// The paths that the entry instance serves by itself. No route may use them.
const (
	pathEntryInstances = "/v1/entry-instances"
	pathOpenAPI        = "/v1/openapi"
)

func isAPIPath(path string) bool {
	return path == pathEntryInstances || strings.HasPrefix(path, pathOpenAPI)
}

type entryInstancesInput struct {
	address string
}

// Resolve implements huma.Resolver: it takes the address of the caller.
func (i *entryInstancesInput) Resolve(ctx huma.Context) []error {
	i.address = ctx.RemoteAddr()
	return nil
}

type entryInstancesOutput struct {
	CacheControl string `header:"Cache-Control"`
	Body         EntryInstanceList
}

func (s *Server) newAPI() http.Handler {
	mux := http.NewServeMux()
	config := huma.DefaultConfig("samphireferry for callers", "1")
	config.OpenAPIPath = pathOpenAPI
	config.DocsPath = ""
	config.SchemasPath = ""
	config.CreateHooks = nil
	api := humago.New(mux, config)
	huma.Register(api, huma.Operation{
		OperationID: "list-entry-instances",
		Method:      http.MethodGet,
		Path:        pathEntryInstances,
		Summary:     "List the entry instances to use, in order",
	}, s.listEntryInstances)
	return mux
}

func (s *Server) listEntryInstances(_ context.Context, input *entryInstancesInput) (*entryInstancesOutput, error) {
	address := callerAddress(input.address)
	list := s.services.EntryInstances.EntryInstances(address)
	return &entryInstancesOutput{CacheControl: "no-store", Body: list}, nil
}
