// Package settings loads and validates the settings file of a router.
package settings

import (
	"fmt"
	"net/netip"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/settings"
)

// Settings has one struct for each section of the file.
type Settings struct {
	Host     Host     `ini:"host"`
	Log      Log      `ini:"log"`
	Bounds   Bounds   `ini:"bounds"`
	Targets  Targets  `ini:"targets"`
	Budgets  Budgets  `ini:"budgets"`
	Callers  Callers  `ini:"callers"`
	Capacity Capacity `ini:"capacity"`
	Output   Output   `ini:"output"`
}

// Load reads and validates the file at path. Errors on a value name its section, its key and
// the reason.
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
	for _, c := range []func() error{s.Host.check, s.Log.check, s.Bounds.check, s.Budgets.check, s.Targets.check, s.Callers.check, s.Capacity.check, s.Output.check} {
		if err := c(); err != nil {
			return err
		}
	}
	return nil
}

func invalidValue(section, key, value, reason string) error {
	return fmt.Errorf("section [%s]: key %q: %q %s", section, key, value, reason)
}

func checkAddress(section, key, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return invalidValue(section, key, value, "is not an address such as 10.0.0.1:7000")
	}
	return nil
}

// Milliseconds converts a settings value in milliseconds to a duration.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Seconds converts a settings value in seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func checkLevel(level string) error {
	if _, err := log.ParseLevel(level); err != nil {
		return invalidValue("output", "level", level, "is not a log level such as info")
	}
	return nil
}
