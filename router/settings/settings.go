// Package settings reads and checks the settings of a router.
package settings

import (
	"fmt"
	"net/netip"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/settings"
)

// Settings are all of them, a struct for each section.
type Settings struct {
	Host    Host    `ini:"host"`
	Log     Log     `ini:"log"`
	Bounds  Bounds  `ini:"bounds"`
	Targets Targets `ini:"targets"`
	Budgets Budgets `ini:"budgets"`
	Callers Callers `ini:"callers"`
	Output  Output  `ini:"output"`
}

// Load reads and checks the file at path. An error names section, key and reason.
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
	for _, c := range []func() error{s.Host.check, s.Log.check, s.Bounds.check, s.Budgets.check, s.Callers.check, s.Output.check} {
		if err := c(); err != nil {
			return err
		}
	}
	return nil
}

func bad(section, key, value, reason string) error {
	return fmt.Errorf("section [%s]: key %q: %q %s", section, key, value, reason)
}

func checkAddress(section, key, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return bad(section, key, value, "is not an address such as 10.0.0.1:7000")
	}
	return nil
}

// Milliseconds turns a number of the settings into a duration.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Seconds turns a number of the settings into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func checkLevel(level string) error {
	if _, err := log.ParseLevel(level); err != nil {
		return bad("output", "level", level, "is not a level such as info")
	}
	return nil
}
