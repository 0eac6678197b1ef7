package declare

import (
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Change is a section that differs between two texts.
type Change struct {
	Section string `json:"section"`
	Kind    string `json:"kind"` // added, removed or changed
}

// Diff lists the sections that differ, by name. Both texts must be INI.
func Diff(old, now string) ([]Change, error) {
	a, err := sections(old)
	if err != nil {
		return nil, fmt.Errorf("the old text: %w", err)
	}
	b, err := sections(now)
	if err != nil {
		return nil, fmt.Errorf("the new text: %w", err)
	}
	var out []Change
	for name, text := range b {
		switch before, ok := a[name]; {
		case !ok:
			out = append(out, Change{name, "added"})
		case before != text:
			out = append(out, Change{name, "changed"})
		}
	}
	for name := range a {
		if _, ok := b[name]; !ok {
			out = append(out, Change{name, "removed"})
		}
	}
	slices.SortFunc(out, func(x, y Change) int { return strings.Compare(x.Section, y.Section) })
	return out, nil
}

// sections returns, by section, its sorted keys and values as one text.
func sections(text string) (map[string]string, error) {
	f, err := ini.Load([]byte(text))
	if err != nil {
		return nil, err
	}
	out := map[string]string{}
	for _, s := range f.Sections() {
		if s.Name() == ini.DefaultSection {
			continue
		}
		keys := s.KeyStrings()
		slices.Sort(keys)
		var b strings.Builder
		for _, k := range keys {
			fmt.Fprintf(&b, "%s=%s\n", k, s.Key(k).String())
		}
		out[s.Name()] = b.String()
	}
	return out, nil
}
