// Package smallwindow opens connections for tests that receive only a little ahead of their reader, so that
// most of what the peer writes waits in its send buffer.
package smallwindow

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// receiveBytes is the size of the receive buffer.
const receiveBytes = 4 << 10

// Dial connects to the TCP address.
func Dial(address string) (*net.TCPConn, error) {
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var set error
		err := c.Control(func(fd uintptr) {
			// The window that is announced at the start stays, so the size has to be set before.
			set = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes)
		})
		if err != nil {
			return err
		}
		return set
	}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return conn.(*net.TCPConn), nil
}
