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
	relayKeep   = 4096 // entries kept for other hosts
	retryRead   = 100 * time.Millisecond
	logUpWithin = 2 * time.Second
)

// ErrBehind means that the log no longer retains the next entry this host needs.
var ErrBehind = errors.New("the log's retention has passed this host's offset")

var errNothingNew = errors.New("the peer is no further than this host")

// Reader reads the log.
type Reader interface {
	Read(ctx context.Context, from uint64, max uint32, wait time.Duration) (*platformv1.ReadResponse, error)
}

// Relay reads log entries and the folded state from other hosts.
type Relay interface {
	Tail(ctx context.Context, from uint64) ([]*peerv1.TailEntry, error)
	State(ctx context.Context) ([]byte, error)
}

// Tailer applies the log to the store as it grows. It reads from the platform, or
// from another host while the platform is unreachable.
type Tailer struct {
	reader Reader
	relay  Relay
	store  *store.Store

	mu         sync.Mutex
	recent     []*peerv1.TailEntry
	lastRead   time.Time
	caughtUp   bool // the end of the log, or a peer's state, has been reached once
	caughtUpCh chan struct{}
}

// NewTailer returns a tailer; Run starts it.
func NewTailer(r Reader, relay Relay, s *store.Store) *Tailer {
	return &Tailer{reader: r, relay: relay, store: s, caughtUpCh: make(chan struct{})}
}

// Up reports whether the log was read within logUpWithin.
func (t *Tailer) Up() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(t.lastRead) < logUpWithin
}

// Recent returns at most max kept entries from an offset on, and the oldest offset kept.
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

// Bootstrap initialises the store from a peer's state or from the log, and retries
// until one of them succeeds or ctx ends.
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
	t.markCaughtUp()
	return nil
}

// fromLog loads the last snapshot whose next entry the log still retains. Without one,
// the log must still have its first entry.
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

// CaughtUp returns a channel that is closed once the store has caught up with the log or a peer.
func (t *Tailer) CaughtUp() <-chan struct{} { return t.caughtUpCh }

func (t *Tailer) markCaughtUp() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.caughtUp {
		t.caughtUp = true
		close(t.caughtUpCh)
	}
}

// forgetRecent drops the kept entries, which are no longer contiguous with the state.
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

// Run follows the log until ctx ends, or fails with ErrBehind.
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
		log.WithError(err).Debug("cannot read the log from the platform; trying a peer")
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
	t.lastRead = time.Now()
	t.mu.Unlock()
	for _, e := range r.Entries {
		t.applyNext(e.Offset, e.Data)
	}
	if have, _ := t.store.Offset(); have+1 >= r.Next {
		t.markCaughtUp()
	}
	return nil
}

func (t *Tailer) fromRelay(ctx context.Context, from uint64) bool {
	entries, err := t.relay.Tail(ctx, from)
	if err != nil || len(entries) == 0 {
		return false
	}
	for _, e := range entries {
		t.applyNext(e.Offset, e.Data)
	}
	return true
}

// applyNext applies and keeps an entry if it is the next one.
func (t *Tailer) applyNext(offset uint64, data []byte) {
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
