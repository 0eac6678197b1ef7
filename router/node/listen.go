package node

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/guard"
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
	if err := n.serveAux(h.ReadyListen, "ready", ready); err != nil {
		return err
	}
	if err := n.serveAux(h.PeerListen, "hosts", n.fleet.Handler()); err != nil {
		return err
	}
	if h.MetricsListen == "" {
		return nil
	}
	return n.serveAux(h.MetricsListen, "metrics", n.observer.Handler())
}

// auxTimeout bounds the requests of other hosts and of the platform.
const auxTimeout = 10 * time.Second

func (n *Node) serveAux(address, what string, handler http.Handler) error {
	s := &http.Server{Handler: handler, ReadTimeout: auxTimeout, IdleTimeout: auxTimeout}
	n.auxServers = append(n.auxServers, s)
	return n.serve(s, address, what)
}

// server accepts connections.
type server interface{ Serve(l net.Listener) error }

func (n *Node) serve(s server, address, what string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listening for connections of %s: %w", what, err)
	}
	log.WithFields(log.Fields{"for": what, "address": address}).Info("listening")
	guard.Go(what+" server", func() {
		if err := s.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			log.WithField("for", what).WithError(err).Error("server stopped with an error")
		}
	})
	return nil
}
