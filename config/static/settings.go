package static

import (
	"flag"
	"time"

	"samphireferry.example/ferry/units"
)

// EnvPrefix is the prefix of the environment variables for settings.
const EnvPrefix = "FERRY_ENTRY"

// Settings are the settings of one entry instance.
type Settings struct {
	// Name is unique in the deployment. Default: the advertised address.
	Name string
	// Region and FailureDomain are where the instance runs. Required.
	Region        string
	FailureDomain string
	// Listen is the IP address and port for callers. Required.
	Listen string
	// Advertise is the address given to callers. Default: Listen.
	Advertise string
	// RPCListen is the IP address and port for other entry instances. Required.
	RPCListen string
	// RPCAdvertise is the address given to other entry instances. Default: RPCListen.
	RPCAdvertise string
	// OperatorListen is the address of the status API and the metrics.
	// Default "127.0.0.1:0".
	OperatorListen string
	// Platform is the base URL of the platform. Empty runs without a platform and
	// requires Seeds.
	Platform string
	// Seeds are RPC addresses of other entry instances, used to find peers while
	// the platform is unavailable.
	Seeds []string
	// TLSCert, TLSKey and TLSCA are PEM texts for mutual TLS between entry
	// instances. All three or none.
	TLSCert string
	TLSKey  string
	TLSCA   string
	// AllowPlaintext allows an RPC address other than loopback without TLS.
	AllowPlaintext bool
	// MaxHeader bounds the header of a request. Default "32KiB".
	MaxHeader units.Size
	// MaxHeaderLines bounds the lines of the header of a request; 0 allows as many as fit into
	// MaxHeader. Default 0.
	MaxHeaderLines int
	// MaxEmptyLines bounds the empty lines before a request; 0 allows as many as fit into MaxHeader.
	// Default 0.
	MaxEmptyLines int
	// HeadMemory bounds the memory that the headers of all requests hold together. Default "32MiB".
	HeadMemory units.Size
	// MaxConnections bounds the connections of callers. Default 10000.
	MaxConnections int
	// Memory is the memory of the instance, parts of which hold the heads and bodies of requests and the
	// connections. "0B" if it is not known. Default "0B".
	Memory units.Size
	// HeaderTimeout bounds the time to send a request header. Default "5s".
	HeaderTimeout time.Duration
	// BodyTimeout bounds the time between two pieces of a request body. Default "5s".
	BodyTimeout time.Duration
	// IdleTimeout bounds how long an unused connection stays open. Default "90s".
	IdleTimeout time.Duration
	// LeaveDelay is the time between marking the instance as leaving and closing
	// its listener. Default "2s".
	LeaveDelay time.Duration
	// ShutdownTimeout bounds the wait for running requests. Default "10m".
	ShutdownTimeout time.Duration
	// HeartbeatInterval is the time between two heartbeats to a peer. Default "250ms".
	HeartbeatInterval time.Duration
	// KeyRetention is how long the outcome of an idempotency key is kept.
	// Default "10m".
	KeyRetention time.Duration
	// ListTTL is the time for which callers may use a list of entry instances,
	// in whole seconds. Default "5s".
	ListTTL time.Duration
	// LogLevel is debug, info, warn or error. Default "info".
	LogLevel string
	// Check validates the settings and exits.
	Check bool
	// ShowVersion prints the version and exits.
	ShowVersion bool
}

// registerFlags registers all settings.
func (s *Settings) registerFlags(fs *flag.FlagSet) {
	s.registerIdentityFlags(fs)
	s.registerPeerFlags(fs)
	s.registerLimitFlags(fs)
	fs.StringVar(&s.LogLevel, "log-level", "info", "debug, info, warn or error")
	fs.BoolVar(&s.Check, "check", false, "check the settings and exit")
	fs.BoolVar(&s.ShowVersion, "version", false, "print the version and exit")
}

func (s *Settings) registerIdentityFlags(fs *flag.FlagSet) {
	fs.StringVar(&s.Name, "name", "", "unique name of the instance (default: the advertised address)")
	fs.StringVar(&s.Region, "region", "", "region of the instance (required)")
	fs.StringVar(&s.FailureDomain, "failure-domain", "", "failure domain of the instance (required)")
	fs.StringVar(&s.Listen, "listen", "", "IP address and port for callers (required)")
	fs.StringVar(&s.Advertise, "advertise", "", "address given to callers (default: listen)")
	fs.StringVar(&s.OperatorListen, "operator-listen", "127.0.0.1:0", "IP address and port of the status API and the metrics")
}

func (s *Settings) registerPeerFlags(fs *flag.FlagSet) {
	fs.StringVar(&s.RPCListen, "rpc-listen", "", "IP address and port for other entry instances (required)")
	fs.StringVar(&s.RPCAdvertise, "rpc-advertise", "", "address given to other entry instances (default: rpc-listen)")
	fs.StringVar(&s.Platform, "platform", "", "base URL of the platform")
	fs.Func("seeds", "RPC address of another entry instance (repeatable)", func(text string) error {
		s.Seeds = append(s.Seeds, text)
		return nil
	})
	fs.StringVar(&s.TLSCert, "tls-cert", "", "certificate of this instance, as PEM text")
	fs.StringVar(&s.TLSKey, "tls-key", "", "private key of this instance, as PEM text")
	fs.StringVar(&s.TLSCA, "tls-ca", "", "certificates that sign entry instances, as PEM text")
	fs.BoolVar(&s.AllowPlaintext, "allow-plaintext", false, "allow an RPC address other than loopback without TLS")
	fs.DurationVar(&s.HeartbeatInterval, "heartbeat-interval", 250*time.Millisecond, "time between two heartbeats to a peer")
}

func (s *Settings) registerLimitFlags(fs *flag.FlagSet) {
	s.MaxHeader = 32 << 10
	fs.TextVar(&s.MaxHeader, "max-header", s.MaxHeader, "largest request header, with unit")
	fs.IntVar(&s.MaxHeaderLines, "max-header-lines", 0, "largest number of lines of a request header; 0 allows as many as fit into max-header")
	fs.IntVar(&s.MaxEmptyLines, "max-empty-lines", 0, "largest number of empty lines before a request; 0 allows as many as fit into max-header")
	s.HeadMemory = 32 << 20
	fs.TextVar(&s.HeadMemory, "head-memory", s.HeadMemory, "memory that the headers of all requests may hold together, with unit")
	fs.IntVar(&s.MaxConnections, "max-connections", 10_000, "largest number of connections of callers")
	fs.TextVar(&s.Memory, "memory", s.Memory, "memory of the instance, with unit; 0B if it is not known")
	fs.DurationVar(&s.HeaderTimeout, "header-timeout", 5*time.Second, "longest time to send a request header")
	fs.DurationVar(&s.BodyTimeout, "body-timeout", 5*time.Second, "longest pause within a request body")
	fs.DurationVar(&s.IdleTimeout, "idle-timeout", 90*time.Second, "longest time that an unused connection stays open")
	fs.DurationVar(&s.LeaveDelay, "leave-delay", 2*time.Second, "time between marking the instance as leaving and closing its listener")
	fs.DurationVar(&s.ShutdownTimeout, "shutdown-timeout", 10*time.Minute, "longest wait for running requests")
	fs.DurationVar(&s.KeyRetention, "key-retention", 10*time.Minute, "time for which the outcome of an idempotency key is kept")
	fs.DurationVar(&s.ListTTL, "list-ttl", 5*time.Second, "time for which callers may use a list of entry instances")
}
