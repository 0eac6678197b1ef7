// Package config folds the configuration in force out of the log: publishing
// is a compare-and-set on the version it was made from.
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

// Publish puts text in force if base is the present version and text is valid.
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

// Restore parses Text again after the state was copied.
func (c *Config) Restore() error {
	set, err := declare.Parse(c.Text)
	if err != nil {
		return fmt.Errorf("restoring configuration %d: %w", c.Version, err)
	}
	c.Set = set
	return nil
}
