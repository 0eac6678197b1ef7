package node

import (
	"net/http"
	"time"

	"connectrpc.com/connect"

	"maststage.dev/api/maststage/v1/maststagev1connect"
	"maststage.dev/daemon/entry"
	"maststage.dev/daemon/operator"
	"maststage.dev/lib/graceful"
	"maststage.dev/lib/inbound"
)

const (
	headerTimeout   = 5 * time.Second
	idleTimeout     = 2 * time.Minute
	maxHeader       = 16 << 10
	messageOverhead = 64 << 10 // bytes of a message besides its input
	// What a server holds over HTTP/2 before a handler reads it, in bytes.
	connectionWindow = 128 << 10
	streamWindow     = 64 << 10
)

// newHTTP returns the server for callers, operators and metrics.
func (n *Node) newHTTP() *graceful.Server {
	self := func() string { return n.current.Load().Incarnation }
	silent := func(inc string) bool { return n.detector().Silent(inc) }
	router := entry.NewRouter(n.cfg.Host.Region, self, n.store, n.pool, n.engine, silent)
	limit := connect.WithReadMaxBytes(max(n.cfg.Requests.MaxInput, 1<<20) + messageOverhead)
	mux := http.NewServeMux()
	mux.Handle(maststagev1connect.NewCallerHandler(entry.New(n.cfg.Requests, n.store, router, n.leaving), limit))
	mux.Handle(maststagev1connect.NewOperatorHandler(operator.New(n.store, fleet{n}, n.cfg.Host.FirstKey), limit))
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { n.metrics.Write(w) })
	mux.HandleFunc("GET /healthz", n.health)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := graceful.New(&http.Server{
		Handler: n.inbound.Handler(mux, n.cfg.Machine.BodyTime), Protocols: protocols,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		ConnContext: inbound.ConnContext, ConnState: inbound.TrackState,
		HTTP2: &http.HTTP2Config{MaxReceiveBufferPerConnection: connectionWindow, MaxReceiveBufferPerStream: streamWindow},
	})
	server.SetWrap(n.inbound.Listener(callerShare).Wrap)
	return server
}

// health serves the load balancer: 503 while this host must not get new requests.
func (n *Node) health(w http.ResponseWriter, _ *http.Request) {
	version, _ := n.store.Config()
	_, member := n.store.Member(n.current.Load().Incarnation)
	if n.Draining() || version == 0 || !member {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// addGauges registers the gauges that are computed on each read of the metrics.
func (n *Node) addGauges() {
	number := func(name string, f func(*identity) int) {
		n.metrics.Gauge(name, func() float64 {
			if id := n.current.Load(); id != nil {
				return float64(f(id))
			}
			return 0
		})
	}
	n.metrics.Gauge("clients_held_bytes", func() float64 { return float64(n.inbound.Bytes()) })
	n.metrics.Gauge("clients_connections", func() float64 { return float64(n.inbound.Connections()) })
	n.metrics.Gauge("clients_evicted", func() float64 { return float64(n.evicted.Load()) })
	number("outbox_records", func(id *identity) int { return id.writer.Waiting() })
	number("claims_held", func(id *identity) int { return id.Register.Held() })
	number("bills_held", func(id *identity) int { return id.Bills.Held() })
	number("requests_open", func(*identity) int { return n.engine.Open() })
	number("log_up", func(*identity) int {
		if n.LogUp() {
			return 1
		}
		return 0
	})
	number("log_offset", func(*identity) int { o, _ := n.store.Offset(); return int(o) })
	number("view_epoch", func(*identity) int { return int(n.store.Epoch()) })
	number("view_members", func(*identity) int { return len(n.store.Members()) })
	number("config_version", func(*identity) int { v, _ := n.store.Config(); return int(v) })
}
