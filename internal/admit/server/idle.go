package server

import (
	"net"
	"syscall"
)

// openAndEmpty reports whether an idle connection is open and has no bytes to read. It returns true for a connection without
// a file descriptor, such as a pipe in a test.
func openAndEmpty(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peeked := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = peeked == syscall.EAGAIN || peeked == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}
