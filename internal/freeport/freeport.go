// Package freeport finds loopback addresses for processes that are about to
// start.
//
// The ports lie below the range from which the kernel takes those of outgoing
// connections, so that no connection takes one between Next and the start. Each
// process begins at another place, and never returns a port twice in a row.
package freeport

import (
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	firstPort = 10_000
	lastPort  = 32_000
	// spread is the distance between the places at which two processes with
	// following ids begin.
	spread = 131
)

var (
	mu   sync.Mutex
	next = os.Getpid() * spread % (lastPort - firstPort)
)

// Next returns the address of a port that is free now, as "127.0.0.1:12345".
func Next() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	for range lastPort - firstPort {
		next = (next + 1) % (lastPort - firstPort)
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+next))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
	return "", errors.New("no loopback port is free")
}
