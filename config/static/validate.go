package static

import (
	"cmp"
	"net/netip"
	"net/url"
	"regexp"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap/zapcore"
)

// fillDefaults sets the defaults that depend on other settings. The brackets of an
// IPv6 address do not become part of the default name.
func (s *Settings) fillDefaults() {
	s.Advertise = cmp.Or(s.Advertise, s.Listen)
	s.RPCAdvertise = cmp.Or(s.RPCAdvertise, s.RPCListen)
	s.Name = cmp.Or(s.Name, strings.NewReplacer("[", "", "]", "").Replace(s.Advertise))
}

// Validate returns one error for all settings that are missing, out of range
// or in conflict with each other, or nil.
func (s *Settings) Validate() error {
	return errors.Join(
		s.checkIdentity(),
		s.checkAddresses(),
		s.checkPlatform(),
		s.checkTLS(),
		s.checkLimits(),
	)
}

// nameFormat matches the instance names that an idempotency key can contain.
var nameFormat = regexp.MustCompile(`^[A-Za-z0-9:._-]{1,64}$`)

func (s *Settings) checkIdentity() error {
	if s.Advertise != "" && !nameFormat.MatchString(s.Name) {
		return errors.Newf("name: %q is not 1 to 64 letters, digits, colons, dots, hyphens or underscores", s.Name)
	}
	if s.Region == "" {
		return errors.New("region: missing")
	}
	if s.FailureDomain == "" {
		return errors.New("failure-domain: missing")
	}
	_, err := zapcore.ParseLevel(s.LogLevel)
	return errors.Wrap(err, "log-level")
}

func (s *Settings) checkAddresses() error {
	return errors.Join(
		checkAddress("listen", s.Listen),
		checkAddress("advertise", s.Advertise),
		checkAddress("rpc-listen", s.RPCListen),
		checkAddress("rpc-advertise", s.RPCAdvertise),
		checkAddress("operator-listen", s.OperatorListen),
		checkSeeds(s.Seeds),
		checkDistinct(s.Listen, s.RPCListen),
	)
}

func checkAddress(name, text string) error {
	if text == "" {
		return errors.Newf("%s: missing", name)
	}
	_, err := netip.ParseAddrPort(text)
	if err != nil {
		return errors.Newf("%s: %q is not an IP address and port such as \"10.0.0.1:8080\"", name, text)
	}
	return nil
}

func checkSeeds(seeds []string) error {
	var errs error
	for _, seed := range seeds {
		errs = errors.Join(errs, checkAddress("seeds", seed))
	}
	return errs
}

// checkDistinct checks that the listeners do not have the same address. Port 0 is
// allowed, since each listener then gets a port of its own.
func checkDistinct(listen, rpcListen string) error {
	address, err := netip.ParseAddrPort(listen)
	if err != nil || address.Port() == 0 || listen != rpcListen {
		return nil
	}
	return errors.New("listen and rpc-listen are the same address")
}

func (s *Settings) checkPlatform() error {
	if s.Platform == "" {
		if len(s.Seeds) == 0 {
			return errors.New("platform: missing, and no seeds are given")
		}
		return nil
	}
	return checkPlatformURL(s.Platform)
}

func checkPlatformURL(text string) error {
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return errors.Newf("platform: %q is not an http or https URL", text)
	}
	return nil
}

func (s *Settings) checkTLS() error {
	given := 0
	for _, text := range []string{s.TLSCert, s.TLSKey, s.TLSCA} {
		if text != "" {
			given++
		}
	}
	if given != 0 && given != 3 {
		return errors.New("tls-cert, tls-key and tls-ca: set all three or none")
	}
	if given == 3 || s.AllowPlaintext {
		return nil
	}
	address, err := netip.ParseAddrPort(s.RPCListen)
	if err == nil && !address.Addr().IsLoopback() {
		return errors.New("rpc-listen: an address other than loopback needs tls-cert, tls-key and tls-ca, or allow-plaintext")
	}
	return nil
}

func (s *Settings) checkLimits() error {
	return errors.Join(
		checkRange("max-header", int64(s.MaxHeader), 1<<10, 1<<20),
		checkRange("max-header-lines", int64(s.MaxHeaderLines), 0, 1<<20),
		checkRange("max-empty-lines", int64(s.MaxEmptyLines), 0, 1<<20),
		checkRange("head-memory", int64(s.HeadMemory), 1<<20, 1<<40),
		checkMemory(s.Memory),
		checkRange("max-connections", int64(s.MaxConnections), 1, 1_000_000),
		checkDuration("header-timeout", s.HeaderTimeout, 100*time.Millisecond, time.Minute),
		checkDuration("body-timeout", s.BodyTimeout, 100*time.Millisecond, 10*time.Minute),
		checkDuration("idle-timeout", s.IdleTimeout, time.Second, time.Hour),
		checkDuration("leave-delay", s.LeaveDelay, 0, time.Minute),
		checkDuration("shutdown-timeout", s.ShutdownTimeout, time.Second, 24*time.Hour),
		checkDuration("heartbeat-interval", s.HeartbeatInterval, 20*time.Millisecond, 5*time.Second),
		checkDuration("key-retention", s.KeyRetention, time.Minute, 24*time.Hour),
		checkDuration("list-ttl", s.ListTTL, time.Second, time.Minute),
	)
}

func checkRange(name string, value, lowest, highest int64) error {
	if value < lowest || value > highest {
		return errors.Newf("%s: %d is not between %d and %d", name, value, lowest, highest)
	}
	return nil
}

func checkDuration(name string, value, shortest, longest time.Duration) error {
	if value < shortest || value > longest {
		return errors.Newf("%s: %s is not between %s and %s", name, value, shortest, longest)
	}
	return nil
}
