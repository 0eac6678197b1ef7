package node

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/guard"
	"maststage.dev/lib/inbound"
)

// listen opens all listeners.
func (n *Node) listen() error {
	h := n.cfg.Host
	n.server = n.callerServer()
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+n.env.ReadyPath, n.serveReady)
	if err := n.serve(n.server, h.Listen, "callers"); err != nil {
		return err
	}
	if err := n.serveAux(h.ReadyListen, "ready", ready, readyShare); err != nil {
		return err
	}
	if err := n.serveAux(h.PeerListen, "hosts", n.fleet.Handler(), hostShare); err != nil {
		return err
	}
	if h.MetricsListen == "" {
		return nil
	}
	return n.serveAux(h.MetricsListen, "metrics", n.observer.Handler(), metricsShare)
}

// auxTimeout bounds the requests of other hosts and of the platform.
const auxTimeout = 10 * time.Second

// serveAux serves other clients than callers, which may have a share of the descriptors.
func (n *Node) serveAux(address, what string, handler http.Handler, share float64) error {
	s := &http.Server{
		Handler: n.inbound.Handler(handler, 0), ReadTimeout: auxTimeout, IdleTimeout: auxTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: inbound.ConnContext, ConnState: inbound.TrackState,
	}
	n.auxServers = append(n.auxServers, s)
	return n.serve(auxServer{s, n.inbound.Listener(share)}, address, what)
}

// auxServer serves a listener whose connections are charged to the account.
type auxServer struct {
	*http.Server
	part *inbound.Listener
}

// Serve serves a TCP listener.
func (s auxServer) Serve(l net.Listener) error { return s.Server.Serve(s.part.Accept(l)) }

// server accepts connections.
type server interface{ Serve(l net.Listener) error }

func (n *Node) serve(s server, address, what string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listening for connections of %s: %w", what, err)
	}
	limitReceiveBuffers(listener)
	log.WithFields(log.Fields{"for": what, "address": address}).Info("listening")
	guard.Go(what+" server", func() {
		if err := s.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			log.WithField("for", what).WithError(err).Error("server stopped with an error")
		}
	})
	return nil
}

// receiveBuffer bounds what the kernel keeps for a connection whose bytes are not read, in bytes. Without it the kernel lets the
// buffer grow to megabytes.
const receiveBuffer = 64 << 10

// limitReceiveBuffers bounds the receive buffers of a listener's future connections.
func limitReceiveBuffers(l net.Listener) {
	tcp, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	// Without the option, the system's default applies.
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	})
}
