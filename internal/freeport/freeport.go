// Package freeport finds loopback addresses for processes that are about to
// start.
//
// The ports lie below the ephemeral port range of the kernel, so that no outgoing
// connection takes one between Next and the start of the process. Each process
// starts its search at a different port and never returns the same port twice in
// a row.
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
	// endPort is the first port above the range.
	endPort = 32_000
	// startSpacing is the distance in ports between the first candidates of two
	// processes with consecutive ids.
	startSpacing = 131
)

var (
	mu sync.Mutex
	// offset is the distance from firstPort to the port tried last.
	offset = os.Getpid() * startSpacing % (endPort - firstPort)
)

// Next returns the address of a currently free port, such as "127.0.0.1:12345".
func Next() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	for range endPort - firstPort {
		offset = (offset + 1) % (endPort - firstPort)
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+offset))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
	return "", errors.New("no loopback port is free")
}
