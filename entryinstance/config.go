package entryinstance

import (
	"time"

	"samphireferry.example/ferry/invariant"
)

// Limits and times that are the same for all connections.
const (
	// MaxMessageBytes bounds one message in either direction. It is above the
	// largest value in the platform's store, so that a stored configuration fits.
	MaxMessageBytes = 4 << 20
	// StreamWindowBytes bounds the unread data of one stream.
	StreamWindowBytes = 512 << 10
	// ConnectionWindowBytes bounds the unread data of one connection.
	ConnectionWindowBytes = 4 << 20
	// MaxStreams bounds the concurrent calls of one connection.
	MaxStreams = 4096
	// maxFieldBytes bounds the header fields of one call, by their size in memory.
	maxFieldBytes = 16 << 10
	// bufferBytes is the size of the read and of the write buffer of a connection.
	bufferBytes = 8 << 10
	// connectionMemory is how much memory of the machine there is for each connection: most of it is for
	// callers. A connection without calls needs about a fifth of it.
	connectionMemory = 256 << 10
	// DefaultCallTimeout is the timeout of unary calls without a deadline.
	DefaultCallTimeout = 2 * time.Second

	defaultKeepaliveTime    = 10 * time.Second
	defaultKeepaliveTimeout = 3 * time.Second
	defaultSilenceTimeout   = 500 * time.Millisecond
	defaultIdleTimeout      = time.Minute
	// minPingInterval is the shortest interval of pings that a server accepts.
	minPingInterval = 5 * time.Second
	connectTimeout  = time.Second
	// The delay before a failed dial is repeated starts at backoffBase, grows by
	// backoffFactor up to backoffMax and varies by the fraction backoffJitter.
	backoffBase   = 50 * time.Millisecond
	backoffMax    = 2 * time.Second
	backoffFactor = 1.6
	backoffJitter = 0.2
)

// Config holds the settings that servers and pools share.
type Config struct {
	// TLS authenticates both sides; nil uses plain text.
	TLS *TLS
	// AllowPlaintext lets a server without TLS bind addresses other than
	// loopback ones. Default false.
	AllowPlaintext bool
	// KeepaliveTime is the time without data after which a ping is sent.
	// Clients send at most one ping per 10 s. Default 10 s.
	KeepaliveTime time.Duration
	// KeepaliveTimeout is how long the response to a ping may take. Default 3 s.
	KeepaliveTimeout time.Duration
	// SilenceTimeout is the time without data after which a connection with
	// waiting calls is probed, and how long the response to the probe may take.
	// Default 500 ms.
	SilenceTimeout time.Duration
	// IdleTimeout is the time after which a connection without calls is closed.
	// Default 1 min.
	IdleTimeout time.Duration
	// MaxConnections bounds the connections that a server accepts; others wait. 0 sets no bound. Default 0.
	MaxConnections int
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

// MaxConnectionsFor returns Config.MaxConnections for a machine with the memory in bytes, 0 for 0.
func MaxConnectionsFor(memory int64) int { return int(memory / connectionMemory) }

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
