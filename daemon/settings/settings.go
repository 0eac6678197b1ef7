// Package settings defines the settings of maststaged, one section per file.
package settings

import (
	"fmt"
	"net/netip"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/settings"
)

// Settings is a settings file.
type Settings struct {
	Host     Host     `ini:"host"`
	Platform Platform `ini:"platform"`
	Peers    Peers    `ini:"peers"`
	Budgets  Budgets  `ini:"budgets"`
	Requests Requests `ini:"requests"`
	Targets  Targets  `ini:"targets"`
	Log      Log      `ini:"log"`
	Machine  Machine  `ini:"machine"`
}

// Load reads and checks the file at path.
func Load(path string) (*Settings, error) {
	s := &Settings{}
	if err := settings.Load(path, s); err != nil {
		return nil, err
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

func (s *Settings) check() error {
	addrs := []struct{ section, key, value string }{
		{"host", "listen", s.Host.Listen},
		{"host", "peer_listen", s.Host.PeerListen},
		{"host", "peer_address", s.Host.PeerAddress},
		{"platform", "log", s.Platform.Log},
		{"platform", "members", s.Platform.Members},
	}
	for _, a := range addrs {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return fmt.Errorf("section [%s]: key %q: %q is not IP:port", a.section, a.key, a.value)
		}
	}
	for _, n := range []struct{ key, value string }{
		{"name", s.Host.Name}, {"domain", s.Host.Domain}, {"region", s.Host.Region},
	} {
		if n.value == "" {
			return fmt.Errorf("section [host]: key %q: is empty", n.key)
		}
	}
	if len(s.Peers.Secret) < minSecretLength {
		return fmt.Errorf("section [peers]: key \"secret\": shorter than %d characters", minSecretLength)
	}
	if err := s.Peers.checkMap(); err != nil {
		return fmt.Errorf("section [peers]: key \"map\": %w", err)
	}
	if _, err := log.ParseLevel(s.Log.Level); err != nil {
		return fmt.Errorf("section [log]: key \"level\": %w", err)
	}
	if s.Log.Format != FormatText && s.Log.Format != FormatJSON {
		return fmt.Errorf("section [log]: key \"format\": %q is neither %q nor %q", s.Log.Format, FormatText, FormatJSON)
	}
	if s.Budgets.MaxSlice == 0 {
		return fmt.Errorf("section [budgets]: key \"max_slice\": must be above 0")
	}
	return s.Machine.check()
}
