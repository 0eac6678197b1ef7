package measure

import (
	"fmt"
	"os"

	"maststage.dev/proofs/fleet"
)

// programTB implements fleet.TB for programs, which start a fleet outside a test.
type programTB struct {
	dir      string
	cleanups []func()
}

var _ fleet.TB = (*programTB)(nil)

func (b *programTB) Helper()          {}
func (b *programTB) Cleanup(f func()) { b.cleanups = append(b.cleanups, f) }
func (b *programTB) TempDir() string  { return b.dir }
func (b *programTB) Failed() bool     { return false }

// Logf prints a line to standard error.
func (b *programTB) Logf(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }

// Fatal panics to abort the measurement; withDeclared turns the panic into an error.
func (b *programTB) Fatal(args ...any) { panic(failure(fmt.Sprint(args...))) }

// Fatalf is Fatal with a format string.
func (b *programTB) Fatalf(format string, args ...any) { panic(failure(fmt.Sprintf(format, args...))) }

type failure string

// withFleet starts a fleet with a budget of tokens, calls do and stops the fleet.
func withFleet(o fleet.Options, tokens uint64, do func(*fleet.Fleet) error) error {
	return withDeclared(o, fleetDeclarations(tokens), do)
}

// withDeclared is withFleet with the given declarations.
func withDeclared(o fleet.Options, text string, do func(*fleet.Fleet) error) (err error) {
	dir, err := os.MkdirTemp("", "maststage-bench-")
	if err != nil {
		return err
	}
	b := &programTB{dir: dir}
	defer func() {
		for i := len(b.cleanups) - 1; i >= 0; i-- {
			b.cleanups[i]()
		}
		_ = os.RemoveAll(dir)
		if f, ok := recover().(failure); ok {
			err = fmt.Errorf("fleet: %s", string(f))
		}
	}()
	f := fleet.Start(b, o)
	f.Apply(text)
	return do(f)
}
