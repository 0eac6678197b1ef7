package httpconn

import (
	"net"
	"syscall"
	"unsafe"
)

// tcpClosed is the state of a TCP connection that was reset, in the kernel's numbering.
const tcpClosed = 7

// WasReset reports whether the other side reset a connection that this host has not closed. The kernel reports a reset to one
// read or write alone: where a request is still being written, the read of its response may return io.EOF.
func WasReset(nc net.Conn) bool {
	raw, ok := rawConn(nc)
	if !ok {
		return false
	}
	var (
		info  [256]byte // struct tcp_info, which begins with the state
		size  = uint32(len(info))
		errno syscall.Errno
	)
	err := raw.Control(func(fd uintptr) {
		_, _, errno = syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO, uintptr(unsafe.Pointer(&info[0])), uintptr(unsafe.Pointer(&size)), 0)
	})
	return err == nil && errno == 0 && size > 0 && info[0] == tcpClosed
}
