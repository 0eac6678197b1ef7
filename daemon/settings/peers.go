package settings

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// minSecretLength is the minimum length of the hosts' shared secret, in bytes.
const minSecretLength = 16

// Peers configures the connections between hosts and the failure detection.
type Peers struct {
	Secret       string        `ini:"secret"`
	Map          string        `ini:"map" default:""` // addresses to dial instead of others: FROM>TO,FROM>TO
	PingInterval time.Duration `ini:"ping_interval" default:"500ms"`
	SuspectAfter time.Duration `ini:"suspect_after" default:"1500ms"` // silence before a host is suspected
	Timeout      time.Duration `ini:"timeout" default:"500ms"`        // of a short call
}

// Via returns the address to dial for each address in Map.
func (p Peers) Via() map[string]string {
	via := map[string]string{}
	for pair := range strings.SplitSeq(p.Map, ",") {
		if from, to, ok := strings.Cut(strings.TrimSpace(pair), ">"); ok {
			via[from] = to
		}
	}
	return via
}

func (p Peers) checkMap() error {
	if p.Map == "" {
		return nil
	}
	for pair := range strings.SplitSeq(p.Map, ",") {
		from, to, ok := strings.Cut(strings.TrimSpace(pair), ">")
		_, err1 := netip.ParseAddrPort(from)
		_, err2 := netip.ParseAddrPort(to)
		if !ok || err1 != nil || err2 != nil {
			return fmt.Errorf("%q is not IP:port>IP:port", pair)
		}
	}
	return nil
}
