package measure

import (
	"fmt"
	"os"

	"maststage.dev/proofs/fleet"
)

// bench stands in for a test where a program starts a fleet.
type bench struct {
	dir      string
	cleanups []func()
}

var _ fleet.TB = (*bench)(nil)

func (b *bench) Helper()          {}
func (b *bench) Cleanup(f func()) { b.cleanups = append(b.cleanups, f) }
func (b *bench) TempDir() string  { return b.dir }
func (b *bench) Failed() bool     { return false }

// Logf prints to standard error.
func (b *bench) Logf(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }

// Fatal gives the measurement up; withFleet turns it into an error.
func (b *bench) Fatal(args ...any) { panic(failed(fmt.Sprint(args...))) }

// Fatalf is Fatal with a format.
func (b *bench) Fatalf(format string, args ...any) { panic(failed(fmt.Sprintf(format, args...))) }

type failed string

// withFleet starts a fleet, does something with it and stops it.
func withFleet(o fleet.Options, tokens uint64, do func(*fleet.Fleet) error) error {
	return withDeclared(o, fleetDeclarations(tokens), do)
}

// withDeclared is withFleet with declarations of its own.
func withDeclared(o fleet.Options, text string, do func(*fleet.Fleet) error) (err error) {
	dir, err := os.MkdirTemp("", "maststage-bench-")
	if err != nil {
		return err
	}
	b := &bench{dir: dir}
	defer func() {
		for i := len(b.cleanups) - 1; i >= 0; i-- {
			b.cleanups[i]()
		}
		_ = os.RemoveAll(dir)
		if f, ok := recover().(failed); ok {
			err = fmt.Errorf("fleet: %s", string(f))
		}
	}()
	f := fleet.Start(b, o)
	f.Apply(text)
	return do(f)
}
