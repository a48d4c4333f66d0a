package entryinstance

import (
	"time"

	"samphireferry.example/ferry/invariant"
)

// Limits and times that are the same for all connections.
const (
	// MaxMessageBytes bounds one message in either direction. It holds a
	// stored configuration of the platform's largest value and more.
	MaxMessageBytes = 4 << 20
	// StreamWindowBytes bounds the data of one stream that its reader has not
	// taken yet.
	StreamWindowBytes = 512 << 10
	// ConnectionWindowBytes bounds the unread data of one connection.
	ConnectionWindowBytes = 4 << 20
	// MaxStreams bounds the concurrent calls of one connection.
	MaxStreams = 4096
	// DefaultCallTimeout is the deadline of unary calls that have none.
	DefaultCallTimeout = 2 * time.Second

	defaultKeepaliveTime    = 10 * time.Second
	defaultKeepaliveTimeout = 3 * time.Second
	defaultSilenceTimeout   = 500 * time.Millisecond
	defaultIdleTimeout      = time.Minute
	minPingInterval         = 5 * time.Second
	connectTimeout          = time.Second
	backoffBase             = 50 * time.Millisecond
	backoffMax              = 2 * time.Second
	backoffFactor           = 1.6
	backoffJitter           = 0.2
)

// Config holds the settings that servers and pools share.
type Config struct {
	// TLS authenticates both sides; nil uses plain text.
	TLS *TLS
	// AllowPlaintext lets a server without TLS bind other addresses than
	// loopback ones. Default false.
	AllowPlaintext bool
	// KeepaliveTime is the time without data after which a ping is sent.
	// Clients never ping more often than each 10 s. Default 10 s.
	KeepaliveTime time.Duration
	// KeepaliveTimeout is the wait for the answer to a ping. Default 3 s.
	KeepaliveTimeout time.Duration
	// SilenceTimeout is the time without data after which a connection with
	// waiting calls is probed, and the wait for the probe. Default 500 ms.
	SilenceTimeout time.Duration
	// IdleTimeout closes connections without calls. Default 1 min.
	IdleTimeout time.Duration
	// Invariants records violations; nil records nothing.
	Invariants *invariant.Checker
}

func (c Config) withDefaults() Config {
	setDefault(&c.KeepaliveTime, defaultKeepaliveTime)
	setDefault(&c.KeepaliveTimeout, defaultKeepaliveTimeout)
	setDefault(&c.SilenceTimeout, defaultSilenceTimeout)
	setDefault(&c.IdleTimeout, defaultIdleTimeout)
	return c
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
