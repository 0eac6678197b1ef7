package target

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// moveTo gives a target's id an entry of another service, as another writer may.
func moveTo(r *Registry, service, id string) {
	e := entry(id, "z1")
	e.Service = service
	r.Put(e)
}

// Guards against a panic, which closes the caller's connection, when a response begins and no target of its service is left.
func TestResponseBeginsAfterItsServiceLostAllTargets(t *testing.T) {
	for name, lose := range map[string]func(*Registry){
		"entries name another service":      func(r *Registry) { moveTo(r, "unknown", "a"); moveTo(r, "unknown", "b") },
		"the others have not responded yet": func(r *Registry) { moveTo(r, "unknown", "a") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRegistry(entry("a", "z1"), entry("b", "z1"))
			a := r.targets["a"]
			r.BeginRequest(a, 10)
			lose(r)
			r.RecordFirstByte(a, 10, 50*time.Millisecond)
			r.RecordGap(a, 10*time.Millisecond, 100*time.Millisecond)
			r.EndRequest(a, 0, Succeeded)
			is.Equal(a.outstanding, 0)
			is.Equal(a.pendingTokens, 0.0)
		})
	}
}

// Guards against a latency of a service that is forgotten, or never updated again, once it was without targets.
func TestLatencyOfAServiceOutlastsTheLossOfItsTargets(t *testing.T) {
	is := is.New(t)
	r := newRegistry(entry("a", "z1"))
	a := r.targets["a"]
	for range 2 {
		r.BeginRequest(a, 0)
	}
	r.RecordFirstByte(a, 0, 50*time.Millisecond)
	is.Equal(r.statsOf("s").medianLatency, 0.05)
	moveTo(r, "unknown", "a")
	r.statsOf("s").latencyAt = time.Time{} // due again
	r.RecordFirstByte(a, 0, 80*time.Millisecond)
	is.Equal(r.statsOf("s").medianLatency, 0.05)
	r.Put(entry("a", "z1")) // its own writer has written again
	r.statsOf("s").latencyAt = time.Time{}
	b := r.targets["a"]
	r.BeginRequest(b, 0)
	r.RecordFirstByte(b, 0, 70*time.Millisecond)
	is.Equal(r.statsOf("s").medianLatency, 0.07)
}
