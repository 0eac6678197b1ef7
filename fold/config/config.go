// Package config derives the configuration in force from the log. Publishing is a
// compare-and-set on the version that the new text is based on.
package config

import (
	"fmt"

	"maststage.dev/lib/declare"
)

// Config is the configuration in force.
type Config struct {
	Version uint64
	Text    string
	Set     *declare.Set `json:"-"`
}

// Publish puts text in force if base is the current version and text is valid.
func (c *Config) Publish(base uint64, text string) error {
	if base != c.Version {
		return fmt.Errorf("made from version %d, but version %d is in force", base, c.Version)
	}
	set, err := declare.Parse(text)
	if err != nil {
		return err
	}
	c.Version++
	c.Text = text
	c.Set = set
	return nil
}

// Restore parses Text, since Set isn't stored with the state.
func (c *Config) Restore() error {
	set, err := declare.Parse(c.Text)
	if err != nil {
		return fmt.Errorf("restoring configuration %d: %w", c.Version, err)
	}
	c.Set = set
	return nil
}
