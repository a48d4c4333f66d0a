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
	"github.com/google/uuid"
	"go.uber.org/zap"

	"samphireferry.example/ferry/connlimit"
	"samphireferry.example/ferry/headgate"
	"samphireferry.example/ferry/linger"
	"samphireferry.example/ferry/telemetry"
)

// Settings are the limits and timeouts for callers of one entry instance.
type Settings struct {
	// MaxHeaderBytes is the maximum size of the request header, in bytes. Default 32 KiB.
	MaxHeaderBytes int
	// MaxHeaderLines and MaxEmptyLines are the maximum numbers of lines of a request header and of
	// empty lines before a request; 0 allows as many as fit into MaxHeaderBytes. Default 0.
	MaxHeaderLines int
	MaxEmptyLines  int
	// HeadMemoryBytes is the memory that the headers of all requests may hold, in bytes. Default 32 MiB.
	HeadMemoryBytes int64
	// MaxConnections is the maximum number of open connections. Default 10,000.
	MaxConnections int
	// MemoryBytes is the memory of the instance, in bytes; 0 if it is not known. Default 0.
	MemoryBytes int64
	// HeaderTimeout limits the time to receive a request header. Default 5 s.
	HeaderTimeout time.Duration
	// BodyTimeout limits the time to wait for the next bytes of a request
	// body. Default 5 s.
	BodyTimeout time.Duration
	// IdleTimeout limits the time that an idle connection stays open.
	// Default 90 s.
	IdleTimeout time.Duration
	// LeaveDelay is the time between marking the instance as leaving and closing
	// the listener, in which callers can detect that it leaves. Default 2 s.
	LeaveDelay time.Duration
	// MaxRecordedBodyBytes is the maximum size of a response body recorded with an
	// idempotency key, in bytes. Default 64 KiB.
	MaxRecordedBodyBytes int
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		MaxHeaderBytes:       32 << 10,
		HeadMemoryBytes:      32 << 20,
		MaxConnections:       10_000,
		HeaderTimeout:        5 * time.Second,
		BodyTimeout:          5 * time.Second,
		IdleTimeout:          90 * time.Second,
		LeaveDelay:           2 * time.Second,
		MaxRecordedBodyBytes: 64 << 10,
	}
}

const (
	// lingerDivisor is the part of the connection limit that may linger after their close.
	lingerDivisor = 10
	// otherConnsDivisor is the part of the connection limit for a listener that serves no callers.
	otherConnsDivisor = 10
	// writeTimeout bounds the time in which a caller takes none of the bytes of a write.
	writeTimeout = 10 * time.Second
)

// Services are the dependencies of the server on the rest of the entry instance.
type Services struct {
	Tables         TableSource
	Admitter       Admitter
	Freshness      StoreAgeSource
	Dispatcher     Dispatcher
	Claims         Claimer
	EntryInstances EntryInstances
	// Upstreams counts the connections to upstreams; nil for none.
	Upstreams ConnectionCounter
	Metrics   *telemetry.Metrics
	Log       *zap.Logger
}

// ConnectionCounter counts open connections.
type ConnectionCounter interface{ Connections() int }

// Server serves callers over HTTP. Provision starts it and Cleanup shuts it down
// gracefully.
type Server struct {
	settings Settings
	services Services
	api      http.Handler
	http     *http.Server
	listener net.Listener
	heads    *headgate.Options
	closer   *linger.Closer
	conns    *connlimit.Table
	leaving  atomic.Bool
	stopped  chan struct{}
	// latency records the time in seconds from the request header to the end of a
	// successful response.
	latency *metrics.Histogram
}

// NewServer returns a server that has not been started.
func NewServer(settings Settings, services Services) *Server {
	s := &Server{
		settings: settings,
		services: services,
		stopped:  make(chan struct{}),
		closer:   linger.NewCloser(max(1, settings.MaxConnections/lingerDivisor)),
		latency:  services.Metrics.Histogram("ferry_request_seconds"),
	}
	s.heads = s.newHeads()
	s.conns = connlimit.New(settings.MaxConnections, connlimit.MostFor(settings.MemoryBytes), s.otherConnections)
	s.api = s.newAPI()
	s.http = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: settings.HeaderTimeout,
		IdleTimeout:       settings.IdleTimeout,
		MaxHeaderBytes:    settings.MaxHeaderBytes,
		ConnState:         headgate.ObserveWith(s.conns.Observe),
		ConnContext:       headgate.WithConn,
		ErrorLog:          zap.NewStdLog(services.Log.Named("http")),
	}
	return s
}

// Provision starts to serve on the listener in the background.
func (s *Server) Provision(listener net.Listener) {
	s.listener = s.gated(listener)
	go func() {
		defer close(s.stopped)
		err := s.http.Serve(s.listener)
		if err != nil && !errors.Is(err, http.ErrServerClosed) {
			s.services.Log.Error("caller server stopped", zap.Error(err))
		}
	}()
}

func (s *Server) gated(listener net.Listener) net.Listener {
	return headgate.Listener{Listener: linger.Listener{Listener: listener, Closer: s.closer}, Options: s.heads}
}

// otherConnections returns the number of connections that take descriptors and memory beside those of callers.
func (s *Server) otherConnections() int {
	if s.services.Upstreams == nil {
		return s.closer.Lingering()
	}
	return s.closer.Lingering() + s.services.Upstreams.Connections()
}

// Guarded returns a server for requests without a body on another listener, such as that of the operator, and
// the listener to serve. Its heads and connections are bounded like those of callers.
func (s *Server) Guarded(listener net.Listener, handler http.Handler) (*http.Server, net.Listener) {
	conns := connlimit.New(max(1, s.settings.MaxConnections/otherConnsDivisor), 0, nil)
	refuse := func(w http.ResponseWriter, err error) { writeProblem(w, "", err) }
	return &http.Server{
		Handler:           headgate.Guard(handler, refuse),
		ReadHeaderTimeout: s.settings.HeaderTimeout,
		IdleTimeout:       s.settings.IdleTimeout,
		WriteTimeout:      writeTimeout,
		MaxHeaderBytes:    s.settings.MaxHeaderBytes,
		ConnState:         headgate.ObserveWith(conns.Observe),
		ConnContext:       headgate.WithConn,
		ErrorLog:          zap.NewStdLog(s.services.Log.Named("http")),
	}, s.gated(listener)
}

// Leave marks the server as leaving: each response closes its connection.
func (s *Server) Leave() { s.leaving.Store(true) }

// Cleanup marks the server as leaving, waits for LeaveDelay, closes the listener
// and waits until the requests in flight have completed or the context ends. In
// the latter case it closes all connections and returns an error.
func (s *Server) Cleanup(ctx context.Context) error {
	s.Leave()
	select {
	case <-time.After(s.settings.LeaveDelay):
	case <-ctx.Done():
	}
	s.closer.Unbound()
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	<-s.stopped
	// The end of the process resets connections on which responses are still on their way.
	s.closer.Wait(ctx)
	return errors.Wrap(err, "requests were aborted at the end of the shutdown timeout")
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.stopped
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	head, held, err := s.acceptHead(w, r)
	if err == nil && isAPIPath(r.URL.Path) {
		s.api.ServeHTTP(w, r)
		return
	}
	x := &exchange{server: s, w: w, r: r, id: uuid.NewString(), head: head, conn: headgate.ConnOf(r), held: held}
	x.serveTraffic(err)
}

// Paths that the entry instance serves itself. Routes must not use them.
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

// Resolve implements huma.Resolver. It stores the address of the caller.
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
