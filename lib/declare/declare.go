// Package declare reads the operators' declarations: organisations, budgets,
// target pools, policies and operators, in INI. Validation is deterministic, so
// that all hosts accept or reject the same text.
package declare

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"regexp"
	"strings"

	"gopkg.in/ini.v1"

	"maststage.dev/lib/policy"
)

const (
	maxText     = 1 << 20 // bytes
	maxSections = 20000
	keyHexLen   = 2 * sha256.Size
)

var nameRE = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,63}$`)

// Pool kinds.
const (
	Engine  = "engine"  // model engines, which stream tokens
	Service = "service" // plain services, one response per call
)

// Organisation is a customer of the operator.
type Organisation struct {
	Name   string `ini:"-"`
	Key    string `ini:"key_sha256"` // SHA-256 of its key, hex
	Budget string `ini:"budget"`     // the budget that its requests use
}

// Budget is a prepaid number of tokens.
type Budget struct {
	Name         string `ini:"-"`
	Organisation string `ini:"organisation"`
	Tokens       uint64 `ini:"tokens"`
}

// Pool is a set of equivalent targets, which the membership list names.
type Pool struct {
	Name string `ini:"-"`
	Kind string `ini:"kind"`
}

// Policy is the program for a class of requests.
type Policy struct {
	Class   string          `ini:"-"`
	Source  string          `ini:"program"`
	Program *policy.Program `ini:"-"`
}

// Operator may publish declarations.
type Operator struct {
	Name string `ini:"-"`
	Key  string `ini:"key_sha256"`
}

// Set is a validated set of declarations.
type Set struct {
	Organisations map[string]*Organisation
	Budgets       map[string]*Budget
	Pools         map[string]*Pool
	Policies      map[string]*Policy
	Operators     map[string]*Operator
	byKey         map[string]*Organisation
}

func newSet() *Set {
	return &Set{
		Organisations: map[string]*Organisation{},
		Budgets:       map[string]*Budget{},
		Pools:         map[string]*Pool{},
		Policies:      map[string]*Policy{},
		Operators:     map[string]*Operator{},
		byKey:         map[string]*Organisation{},
	}
}

// Parse reads and validates text. An error gives section, key and reason.
func Parse(text string) (*Set, error) {
	if len(text) > maxText {
		return nil, fmt.Errorf("%d bytes of declarations, at most %d", len(text), maxText)
	}
	f, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: false, SkipUnrecognizableLines: false}, []byte(text))
	if err != nil {
		return nil, fmt.Errorf("reading declarations: %w", err)
	}
	if n := len(f.Sections()); n > maxSections {
		return nil, fmt.Errorf("%d sections, at most %d", n, maxSections)
	}
	s := newSet()
	for _, sec := range f.Sections() {
		if err := s.add(sec); err != nil {
			return nil, err
		}
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

// add reads one section, whose title consists of kind and name.
func (s *Set) add(sec *ini.Section) error {
	title := sec.Name()
	if title == ini.DefaultSection {
		if keys := sec.KeyStrings(); len(keys) > 0 {
			return fmt.Errorf("key %q stands before any section", keys[0])
		}
		return nil
	}
	kind, name, _ := strings.Cut(title, " ")
	if !nameRE.MatchString(name) {
		return fmt.Errorf("section [%s]: the name %q is not made of a-z, 0-9, '.', '_', '-'", title, name)
	}
	switch kind {
	case "organisation":
		o := &Organisation{Name: name}
		s.Organisations[name] = o
		return decodeSection(sec, o, "key_sha256", "budget")
	case "budget":
		b := &Budget{Name: name}
		s.Budgets[name] = b
		return decodeSection(sec, b, "organisation", "tokens")
	case "pool":
		p := &Pool{Name: name}
		s.Pools[name] = p
		return decodeSection(sec, p, "kind")
	case "policy":
		p := &Policy{Class: name}
		s.Policies[name] = p
		return decodeSection(sec, p, "program")
	case "operator":
		o := &Operator{Name: name}
		s.Operators[name] = o
		return decodeSection(sec, o, "key_sha256")
	}
	return fmt.Errorf("section [%s]: %q is none of organisation, budget, pool, policy, operator", title, kind)
}

// decodeSection fills into from sec, which must have exactly the given keys.
func decodeSection(sec *ini.Section, into any, keys ...string) error {
	for _, k := range keys {
		if !sec.HasKey(k) {
			return fmt.Errorf("section [%s]: key %q is missing", sec.Name(), k)
		}
	}
	for _, k := range sec.KeyStrings() {
		if !contains(keys, k) {
			return fmt.Errorf("section [%s]: key %q is not known", sec.Name(), k)
		}
	}
	if sec.HasKey("tokens") {
		if _, err := sec.Key("tokens").Uint64(); err != nil {
			return fmt.Errorf("section [%s]: key \"tokens\": %q is not a number of tokens", sec.Name(), sec.Key("tokens"))
		}
	}
	if err := sec.StrictMapTo(into); err != nil {
		return fmt.Errorf("section [%s]: %w", sec.Name(), err)
	}
	return nil
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// check validates keys, kinds and references between sections, and compiles the policies.
func (s *Set) check() error {
	for name, o := range s.Organisations {
		if err := checkKey("organisation "+name, o.Key); err != nil {
			return err
		}
		b := s.Budgets[o.Budget]
		if b == nil {
			return fmt.Errorf("section [organisation %s]: key \"budget\": no budget %q is declared", name, o.Budget)
		}
		if b.Organisation != name {
			return fmt.Errorf("section [organisation %s]: key \"budget\": %q belongs to %q", name, o.Budget, b.Organisation)
		}
		if other := s.byKey[o.Key]; other != nil {
			return fmt.Errorf("section [organisation %s]: key \"key_sha256\": the same as that of another organisation", max(name, other.Name))
		}
		s.byKey[o.Key] = o
	}
	for name, b := range s.Budgets {
		if s.Organisations[b.Organisation] == nil {
			return fmt.Errorf("section [budget %s]: key \"organisation\": no organisation %q is declared", name, b.Organisation)
		}
	}
	for name, p := range s.Pools {
		if p.Kind != Engine && p.Kind != Service {
			return fmt.Errorf("section [pool %s]: key \"kind\": %q is neither %q nor %q", name, p.Kind, Engine, Service)
		}
	}
	for name, o := range s.Operators {
		if err := checkKey("operator "+name, o.Key); err != nil {
			return err
		}
	}
	return s.compile()
}

func (s *Set) compile() error {
	known := func(pool string) bool { return s.Pools[pool] != nil }
	for class, p := range s.Policies {
		prog, err := policy.Compile(p.Source, known)
		if err != nil {
			return fmt.Errorf("section [policy %s]: key \"program\": %w", class, err)
		}
		p.Program = prog
	}
	return nil
}

func checkKey(section, hexSum string) error {
	if _, err := hex.DecodeString(hexSum); err != nil || len(hexSum) != keyHexLen {
		return fmt.Errorf("section [%s]: key \"key_sha256\": not %d hexadecimal digits", section, keyHexLen)
	}
	return nil
}

// HashKey returns the declared form of a key, its SHA-256 in hex.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// ByKey returns the organisation with a key, or nil.
func (s *Set) ByKey(key string) *Organisation {
	return s.byKey[HashKey(key)]
}

// IsOperator reports whether key belongs to an operator.
func (s *Set) IsOperator(key string) bool {
	sum := []byte(HashKey(key))
	for _, o := range s.Operators {
		if subtle.ConstantTimeCompare(sum, []byte(o.Key)) == 1 {
			return true
		}
	}
	return false
}
