package static

import (
	"flag"
	"io"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap/zapcore"

	"samphireferry.example/ferry/units"
)

// EdgeEnvPrefix is the prefix of the environment variables for edge settings.
const EdgeEnvPrefix = "FERRY_EDGE"

// EdgeBounds are those of the EdgeSettings that a reload puts in force.
type EdgeBounds struct {
	// ListTTL is the time for which callers may use a list of entry instances.
	// Default "2s".
	ListTTL time.Duration
	// RetryRatio and RetrySlack bound the retries that all entry instances
	// together make for a service in any window: ratio x requests + slack.
	// Defaults 0.1 and 20.
	RetryRatio float64
	RetrySlack float64
	// RateWindow is the window over which a customer's requests are counted: its
	// limit is rate x window + burst requests in any such window. Default "5s".
	RateWindow time.Duration
	// RateExcess and RateSlack are the tolerance of that limit: all entry instances
	// together may admit excess x limit + slack requests beyond it. Defaults 0.05
	// and 10.
	RateExcess float64
	RateSlack  float64
	// ConfigBound is the time within which a change of the configuration is to be in force
	// at every instance, from its acknowledgement by the store. An instance gives itself a
	// third of it. Default "3s".
	ConfigBound time.Duration
	// CanaryShare bounds the share of a service's requests that go to a new version
	// before it has been compared with the old one. Default 0.05.
	CanaryShare float64
	// CanarySlack is the number of further requests that a new version may get until it is
	// promoted, from all entry instances together. Default 0.
	CanarySlack float64
}

// DutyUsage is the duty of usage reports.
const DutyUsage = "usage"

// EdgeDuties are the settings of duties that one instance has at a time. They take effect at
// the start.
type EdgeDuties struct {
	// DutyAPI is the host and port of the API that takes the reports. Empty disables all duties.
	DutyAPI string
	// Duties names the duties. Only DutyUsage is known; others are ignored.
	Duties []string
	// DutyRate is the number of calls a second that the API takes from all instances together.
	// Default 50.
	DutyRate float64
	// DutyLease is the time to live of the lease of a duty's holder. Default "3s".
	DutyLease time.Duration
	// FenceCheck is whether the API refuses calls whose fencing token is lower than one that it
	// has seen. Default false.
	FenceCheck bool
	// UsageWindow is the length of the windows of usage reports. Default "5s".
	UsageWindow time.Duration
	// UsageLate is the time after the end of a window at which its report is due. Default "10s".
	UsageLate time.Duration
	// UsageOff is the tolerance of a reported count, as a fraction of it. Default 0.05.
	UsageOff float64
}

// ReportsUsage reports whether the deployment asks for usage reports.
func (d *EdgeDuties) ReportsUsage() bool {
	return d.DutyAPI != "" && slices.Contains(d.Duties, DutyUsage)
}

func (d *EdgeDuties) registerFlags(fs *flag.FlagSet) {
	fs.StringVar(&d.DutyAPI, "duty-api", "", "host and port of the API that takes the reports of duties; empty disables them")
	fs.Func("duties", "duty that one instance has at a time, such as \"usage\" (repeatable)", d.addDuty)
	fs.Float64Var(&d.DutyRate, "duty-rate", 50, "calls a second that the API takes from all entry instances together")
	fs.DurationVar(&d.DutyLease, "duty-lease", 3*time.Second, "time to live of the lease of a duty's holder")
	fs.BoolVar(&d.FenceCheck, "fence-check", false, "whether the API refuses calls with a lower fencing token than it has seen")
	fs.DurationVar(&d.UsageWindow, "usage-window", 5*time.Second, "length of the windows of usage reports")
	fs.DurationVar(&d.UsageLate, "usage-late", 10*time.Second, "time after the end of a window at which its report is due")
	fs.Float64Var(&d.UsageOff, "usage-off", 0.05, "tolerance of a reported count, as a fraction of it")
}

// addDuty adds a duty. An empty value, which stands for a list that the deployment lacks, adds
// none.
func (d *EdgeDuties) addDuty(name string) error {
	if name != "" {
		d.Duties = append(d.Duties, name)
	}
	return nil
}

// validate returns one error for all settings that are out of range. Without an API, none is
// used.
func (d *EdgeDuties) validate() error {
	if d.DutyAPI == "" {
		return nil
	}
	return errors.Join(
		checkHostPort("duty-api", d.DutyAPI),
		checkNotNegative("duty-rate", d.DutyRate),
		checkDuration("duty-lease", d.DutyLease, 500*time.Millisecond, time.Minute),
		checkDuration("usage-window", d.UsageWindow, time.Second, time.Hour),
		checkDuration("usage-late", d.UsageLate, time.Second, time.Hour),
		checkShare("usage-off", d.UsageOff),
	)
}

// EdgeSettings are the settings of one entry instance on the platform.
type EdgeSettings struct {
	// Name is unique in the deployment. Required.
	Name string
	// Region and FailureDomain are where the instance runs. Required.
	Region        string
	FailureDomain string
	// Domains maps every failure domain of the deployment to its region. Required.
	Domains map[string]string
	// Listen is the IP address and port for callers. Required.
	Listen string
	// DirectoryListen is the IP address and port for the list of entry instances,
	// ReadyListen that of the readiness check. Required.
	DirectoryListen string
	ReadyListen     string
	// RPCListen is the IP address and port for other entry instances. Required.
	RPCListen string
	// MetricsListen is the IP address and port of the metrics. Empty disables them.
	MetricsListen string
	// Platform is the base URL of the platform's store. Required.
	Platform string
	// MaxHeader bounds the header of a request. Default "32KiB".
	MaxHeader units.Size
	// MaxHeaderLines bounds the lines of the header of a request; 0 allows as many as fit into
	// MaxHeader. Default 0.
	MaxHeaderLines int
	// MaxEmptyLines bounds the empty lines before a request; 0 allows as many as fit into MaxHeader.
	// Default 0.
	MaxEmptyLines int
	// HeadShare is the part of the memory for heads and bodies that the heads of requests may hold.
	// Default 0.5.
	HeadShare float64
	// MaxConnections bounds the connections of callers. Default 2000.
	MaxConnections int
	// Memory is the memory of the instance, a part of which holds the heads and bodies of requests
	// and the bodies of responses. "0B" if it is not known. Default "0B".
	Memory units.Size
	// HeaderTimeout bounds the time to send a request header. Default "5s".
	HeaderTimeout time.Duration
	// IdleTimeout bounds how long an unused connection stays open. Default "60s".
	IdleTimeout time.Duration
	// HeartbeatInterval is the time between two heartbeats to a peer. Default "1s".
	HeartbeatInterval time.Duration
	// Grace is the time between SIGTERM and the end of the process. Default "6s".
	Grace time.Duration
	EdgeBounds
	EdgeDuties
	// StableAssignment makes few objects change their upstream when upstreams are added or removed,
	// and gives upstreams objects by their slots. All instances need the same value. Default false.
	StableAssignment bool
	// ChooseByCompletion chooses the upstream that is expected to complete a request first, where
	// upstreams state how long work takes there. Default false.
	ChooseByCompletion bool
	// LogLevel is debug, info, warn or error. Default "info".
	LogLevel string
	// Check validates the settings and exits.
	Check bool
	// ShowVersion prints the version and exits.
	ShowVersion bool
}

// ParseEdge reads the settings of an entry instance on the platform from the
// arguments, the environment and the file that the flag -config names. It returns
// flag.ErrHelp after -help, else the first setting that cannot be parsed or one
// error for each invalid setting.
func ParseEdge(program string, args []string, output io.Writer) (*EdgeSettings, error) {
	settings := &EdgeSettings{Domains: map[string]string{}}
	err := parseInto(program, EdgeEnvPrefix, args, output, settings.registerFlags)
	if err != nil {
		return nil, err
	}
	if settings.ShowVersion {
		return settings, nil
	}
	return settings, settings.Validate()
}

// VersionOnly reports whether the program only has to print its version.
func (s *EdgeSettings) VersionOnly() bool { return s.ShowVersion }

// CheckOnly reports whether the program only has to check the settings.
func (s *EdgeSettings) CheckOnly() bool { return s.Check }

// registerFlags registers all settings.
func (s *EdgeSettings) registerFlags(fs *flag.FlagSet) {
	fs.StringVar(&s.Name, "name", "", "unique name of the instance (required)")
	fs.StringVar(&s.Region, "region", "", "region of the instance (required)")
	fs.StringVar(&s.FailureDomain, "failure-domain", "", "failure domain of the instance (required)")
	fs.Func("domain", "failure domain and its region, as \"domain=region\" (repeatable)", s.addDomain)
	fs.StringVar(&s.Listen, "listen", "", "IP address and port for callers (required)")
	fs.StringVar(&s.DirectoryListen, "directory-listen", "", "IP address and port for the list of entry instances (required)")
	fs.StringVar(&s.ReadyListen, "ready-listen", "", "IP address and port of the readiness check (required)")
	fs.StringVar(&s.RPCListen, "rpc-listen", "", "IP address and port for other entry instances (required)")
	fs.StringVar(&s.MetricsListen, "metrics-listen", "", "IP address and port of the metrics")
	fs.StringVar(&s.Platform, "platform", "", "base URL of the platform's store (required)")
	s.registerLimitFlags(fs)
	s.EdgeDuties.registerFlags(fs)
	fs.BoolVar(&s.StableAssignment, "stable-assignment", false, "assign objects to upstreams by slots and with few moves; the same for all instances")
	fs.BoolVar(&s.ChooseByCompletion, "choose-by-completion", false, "choose upstreams by expected completion where they state how long work takes")
	fs.StringVar(&s.LogLevel, "log-level", "info", "debug, info, warn or error")
	fs.BoolVar(&s.Check, "check", false, "check the settings and exit")
	fs.BoolVar(&s.ShowVersion, "version", false, "print the version and exit")
}

func (s *EdgeSettings) registerLimitFlags(fs *flag.FlagSet) {
	s.MaxHeader = 32 << 10
	fs.TextVar(&s.MaxHeader, "max-header", s.MaxHeader, "largest request header, with unit")
	fs.IntVar(&s.MaxHeaderLines, "max-header-lines", 0, "largest number of lines of a request header; 0 allows as many as fit into max-header")
	fs.IntVar(&s.MaxEmptyLines, "max-empty-lines", 0, "largest number of empty lines before a request; 0 allows as many as fit into max-header")
	fs.Float64Var(&s.HeadShare, "head-share", 0.5, "part of the memory for heads and bodies that the heads of requests may hold")
	fs.IntVar(&s.MaxConnections, "max-connections", 2000, "largest number of connections of callers")
	fs.TextVar(&s.Memory, "memory", s.Memory, "memory of the instance, with unit; 0B if it is not known")
	fs.DurationVar(&s.HeaderTimeout, "header-timeout", 5*time.Second, "longest time to send a request header")
	fs.DurationVar(&s.IdleTimeout, "idle-timeout", time.Minute, "longest time that an unused connection stays open")
	fs.DurationVar(&s.HeartbeatInterval, "heartbeat-interval", time.Second, "time between two heartbeats to a peer")
	fs.DurationVar(&s.ListTTL, "list-ttl", 2*time.Second, "time for which callers may use a list of entry instances")
	fs.DurationVar(&s.Grace, "grace", 6*time.Second, "time between SIGTERM and the end of the process")
	fs.Float64Var(&s.RetryRatio, "retry-ratio", 0.1, "retries for each request of a service, across all entry instances")
	fs.Float64Var(&s.RetrySlack, "retry-slack", 20, "retries of a service beyond the ratio in any window")
	fs.DurationVar(&s.RateWindow, "rate-window", 5*time.Second, "window in which rate and burst of a customer are counted")
	fs.Float64Var(&s.RateExcess, "rate-excess", 0.05, "share of rate and burst by which a window may exceed them, across all entry instances")
	fs.Float64Var(&s.RateSlack, "rate-slack", 10, "further requests by which a window may exceed rate and burst, across all entry instances")
	fs.DurationVar(&s.ConfigBound, "config-bound", 3*time.Second, "time within which a change of the configuration is in force at every entry instance")
	fs.Float64Var(&s.CanaryShare, "canary-share", 0.05, "largest share of a service's requests for a version that has not been compared yet")
	fs.Float64Var(&s.CanarySlack, "canary-slack", 0, "further requests for such a version, across all entry instances")
}

// addDomain adds a failure domain and its region, given as "domain=region".
func (s *EdgeSettings) addDomain(text string) error {
	domain, region, ok := strings.Cut(text, "=")
	if !ok || domain == "" || region == "" {
		return errors.Newf("%q is not of the form domain=region", text)
	}
	s.Domains[domain] = region
	return nil
}

// Validate returns one error for all settings that are missing or out of range,
// or nil.
func (s *EdgeSettings) Validate() error {
	return errors.Join(
		s.checkIdentity(),
		checkAddress("listen", s.Listen),
		checkAddress("directory-listen", s.DirectoryListen),
		checkAddress("ready-listen", s.ReadyListen),
		checkAddress("rpc-listen", s.RPCListen),
		checkPlatformURL(s.Platform),
		checkRange("max-header", int64(s.MaxHeader), 1<<10, 1<<20),
		checkRange("max-header-lines", int64(s.MaxHeaderLines), 0, 1<<20),
		checkRange("max-empty-lines", int64(s.MaxEmptyLines), 0, 1<<20),
		checkShare("head-share", s.HeadShare),
		checkMemory(s.Memory),
		checkRange("max-connections", int64(s.MaxConnections), 1, 1_000_000),
		checkDuration("header-timeout", s.HeaderTimeout, 100*time.Millisecond, time.Minute),
		checkDuration("idle-timeout", s.IdleTimeout, time.Second, time.Hour),
		checkDuration("heartbeat-interval", s.HeartbeatInterval, 20*time.Millisecond, 5*time.Second),
		checkDuration("list-ttl", s.ListTTL, time.Second, time.Minute),
		checkDuration("grace", s.Grace, time.Second, time.Hour),
		checkDuration("rate-window", s.RateWindow, time.Second, time.Minute),
		checkDuration("config-bound", s.ConfigBound, 500*time.Millisecond, time.Minute),
		checkShare("canary-share", s.CanaryShare),
		checkNotNegative("retry-ratio", s.RetryRatio),
		checkNotNegative("retry-slack", s.RetrySlack),
		checkNotNegative("rate-excess", s.RateExcess),
		checkNotNegative("rate-slack", s.RateSlack),
		checkNotNegative("canary-slack", s.CanarySlack),
		s.EdgeDuties.validate(),
	)
}

func (s *EdgeSettings) checkIdentity() error {
	if s.Name == "" {
		return errors.New("name: missing")
	}
	if s.Domains[s.FailureDomain] == "" || s.Domains[s.FailureDomain] != s.Region {
		return errors.Newf("failure-domain: domain has no entry %s=%s", s.FailureDomain, s.Region)
	}
	_, err := zapcore.ParseLevel(s.LogLevel)
	return errors.Wrap(err, "log-level")
}

func checkHostPort(name, text string) error {
	_, _, err := net.SplitHostPort(text)
	return errors.Wrap(err, name)
}

func checkShare(name string, value float64) error {
	if value < 0 || value > 1 {
		return errors.Newf("%s: %g is not between 0 and 1", name, value)
	}
	return nil
}

func checkMemory(memory units.Size) error {
	if memory == 0 {
		return nil
	}
	return checkRange("memory", int64(memory), 32<<20, 1<<40)
}

func checkNotNegative(name string, value float64) error {
	if value >= 0 {
		return nil
	}
	return errors.Newf("%s: %v is negative or not a number", name, value)
}
