package main

import (
	"net"
	"net/netip"
	"syscall"
	"time"
)

// darken makes an address at which nobody listens silent, as that of a machine without power: connections to it hang. It returns
// what ends that.
func darken(address string) (end func(), err error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	closeSocket := func() { _ = syscall.Close(fd) }
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		closeSocket()
		return nil, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(parsed.Port()), Addr: parsed.Addr().As4()}); err != nil {
		closeSocket()
		return nil, err
	}
	// The kernel drops what opens further connections once the queue of those that nobody accepts is full.
	if err := syscall.Listen(fd, 0); err != nil {
		closeSocket()
		return nil, err
	}
	var filling []net.Conn
	for {
		c, err := net.DialTimeout("tcp", address, 20*time.Millisecond)
		if err != nil {
			break
		}
		filling = append(filling, c)
	}
	return func() {
		for _, c := range filling {
			_ = c.Close()
		}
		closeSocket()
	}, nil
}
