package logio

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	log "github.com/sirupsen/logrus"

	peerv1 "maststage.dev/api/peer/v1"
	platformv1 "maststage.dev/api/platform/v1"
	"maststage.dev/daemon/store"
	"maststage.dev/fold"
	"maststage.dev/lib/wait"
)

const (
	readMax     = 500
	readWait    = 500 * time.Millisecond
	relayKeep   = 4096 // entries kept for peers
	retryRead   = 100 * time.Millisecond
	logUpWithin = 2 * time.Second
)

// ErrBehind says that the log no longer has what this host needs next.
var ErrBehind = errors.New("the log's retention has passed this host's offset")

var errNothingNew = errors.New("the peer is no further than this host")

// Reader reads the log.
type Reader interface {
	Read(ctx context.Context, from uint64, max uint32, wait time.Duration) (*platformv1.ReadResponse, error)
}

// Relay reads the log and the state from other hosts.
type Relay interface {
	Tail(ctx context.Context, from uint64) ([]*peerv1.TailEntry, error)
	State(ctx context.Context) ([]byte, error)
}

// Tailer follows the log into the store: straight from the platform, or from
// another host while the platform can't be reached.
type Tailer struct {
	reader Reader
	relay  Relay
	store  *store.Store

	mu     sync.Mutex
	recent []*peerv1.TailEntry
	lastUp time.Time
	caught bool // the end of the log was reached once
	level  chan struct{}
}

// NewTailer makes a tailer; Run starts it.
func NewTailer(r Reader, relay Relay, s *store.Store) *Tailer {
	return &Tailer{reader: r, relay: relay, store: s, level: make(chan struct{})}
}

// Up says whether the log was read within the last two seconds.
func (t *Tailer) Up() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(t.lastUp) < logUpWithin
}

// Recent serves entries from an offset on to a peer, with the oldest kept.
func (t *Tailer) Recent(from uint64, max int) (entries []*peerv1.TailEntry, oldest uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.recent) == 0 {
		return nil, 0
	}
	oldest = t.recent[0].Offset
	if from < oldest {
		return nil, oldest
	}
	i := int(from - oldest)
	if i >= len(t.recent) {
		return nil, oldest
	}
	return t.recent[i:min(i+max, len(t.recent))], oldest
}

// Bootstrap brings the store up to the log or to the furthest peer. It returns
// when the state is as late as either can give.
func (t *Tailer) Bootstrap(ctx context.Context) error {
	for {
		if t.fromPeer(ctx) == nil || t.fromLog(ctx) == nil {
			return nil
		}
		wait.For(ctx, retryRead)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

func (t *Tailer) fromPeer(ctx context.Context) error {
	data, err := t.relay.State(ctx)
	if err != nil {
		return err
	}
	state, err := fold.Decode(data)
	if err != nil {
		return err
	}
	if !t.store.Replace(state) {
		return errNothingNew
	}
	t.forgetRecent()
	t.reached()
	return nil
}

// fromLog finds the last snapshot in the log and takes it over. Without one the
// log must still reach back to its beginning.
func (t *Tailer) fromLog(ctx context.Context) error {
	var snap *fold.State
	first, err := t.reader.Read(ctx, 1, 1, 0)
	if err != nil {
		return err
	}
	for from := max(first.Oldest, 1); from < first.Next; {
		r, err := t.reader.Read(ctx, from, readMax, 0)
		if err != nil {
			return err
		}
		if len(r.Entries) == 0 {
			break
		}
		for _, e := range r.Entries {
			if s := snapshotIn(e.Data); s != nil && s.Offset+1 >= r.Oldest {
				snap = s
			}
			from = e.Offset + 1
		}
	}
	if snap != nil {
		t.store.Replace(snap)
		t.forgetRecent()
		return nil
	}
	if first.Oldest > 1 {
		return fmt.Errorf("no snapshot from offset %d on: %w", first.Oldest, ErrBehind)
	}
	return nil
}

// Level is closed once the store has been as far as the log or a peer.
func (t *Tailer) Level() <-chan struct{} { return t.level }

func (t *Tailer) reached() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.caught {
		t.caught = true
		close(t.level)
	}
}

// forgetRecent drops entries that no longer join up with the state.
func (t *Tailer) forgetRecent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recent = nil
}

func snapshotIn(data []byte) *fold.State {
	b := &peerv1.Batch{}
	if proto.Unmarshal(data, b) != nil {
		return nil
	}
	for _, r := range b.Records {
		if s := r.GetSnapshot(); s != nil {
			state, err := fold.Decode(s.State)
			if err != nil {
				return nil
			}
			return state
		}
	}
	return nil
}

// Run follows the log until ctx ends or the log has left this host behind.
func (t *Tailer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		offset, _ := t.store.Offset()
		err := t.fromPlatform(ctx, offset+1)
		if errors.Is(err, ErrBehind) {
			return err
		}
		if err == nil {
			continue
		}
		log.WithError(err).Debug("can't read the log, asking a peer")
		if t.fromRelay(ctx, offset+1) {
			continue
		}
		wait.For(ctx, retryRead)
	}
	return ctx.Err()
}

func (t *Tailer) fromPlatform(ctx context.Context, from uint64) error {
	r, err := t.reader.Read(ctx, from, readMax, readWait)
	if err != nil {
		return err
	}
	if r.Oldest > from {
		return fmt.Errorf("oldest kept is %d, next needed %d: %w", r.Oldest, from, ErrBehind)
	}
	t.mu.Lock()
	t.lastUp = time.Now()
	t.mu.Unlock()
	for _, e := range r.Entries {
		t.take(e.Offset, e.Data)
	}
	if have, _ := t.store.Offset(); have+1 >= r.Next {
		t.reached()
	}
	return nil
}

func (t *Tailer) fromRelay(ctx context.Context, from uint64) bool {
	entries, err := t.relay.Tail(ctx, from)
	if err != nil || len(entries) == 0 {
		return false
	}
	for _, e := range entries {
		t.take(e.Offset, e.Data)
	}
	return true
}

// take applies one entry if it is the next one.
func (t *Tailer) take(offset uint64, data []byte) {
	if have, _ := t.store.Offset(); offset != have+1 {
		return
	}
	t.mu.Lock()
	t.recent = append(t.recent, &peerv1.TailEntry{Offset: offset, Data: data})
	if n := len(t.recent) - relayKeep; n > 0 {
		t.recent = t.recent[n:]
	}
	t.mu.Unlock()
	t.store.Apply(offset, data)
}
