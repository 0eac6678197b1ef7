package patience

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// trickleReader returns one byte per read, after a pause.
type trickleReader struct {
	pause time.Duration
	bytes int
}

func (t *trickleReader) Read(p []byte) (int, error) {
	if t.bytes == 0 {
		return 0, io.EOF
	}
	time.Sleep(t.pause)
	t.bytes--
	p[0] = 'x'
	return 1, nil
}

// readUntil reads until r or ctx ends and returns the number of bytes.
func readUntil(ctx context.Context, r io.Reader) int {
	n := 0
	for buffer := make([]byte, 10); ctx.Err() == nil; {
		got, err := r.Read(buffer)
		n += got
		if err != nil {
			break
		}
	}
	return n
}

func TestLongTransferContinuesWhileBytesArrive(t *testing.T) {
	is := is.New(t)
	ctx, cancel := New(context.Background(), Limits{First: 200 * time.Millisecond, Silence: 200 * time.Millisecond, Most: time.Minute})
	defer cancel()
	n := readUntil(ctx, Reader(ctx, &trickleReader{pause: 20 * time.Millisecond, bytes: 30})) // 0.6 s
	is.NoErr(ctx.Err())
	is.Equal(n, 30)
}

// fullReader returns only when the buffer is full, as some readers do.
type fullReader struct{ io.Reader }

func (f fullReader) Read(p []byte) (int, error) { return io.ReadFull(f.Reader, p) }

// slowReader returns up to 4 KB per read, after a pause.
type slowReader struct{ pause time.Duration }

func (s slowReader) Read(p []byte) (int, error) {
	time.Sleep(s.pause)
	return min(len(p), 4<<10), nil
}

func TestLargeBufferDoesNotHideProgress(t *testing.T) {
	is := is.New(t)
	ctx, cancel := New(context.Background(), Limits{First: 200 * time.Millisecond, Silence: 200 * time.Millisecond, Most: time.Minute})
	defer cancel()
	n, err := io.ReadFull(Reader(ctx, fullReader{slowReader{pause: 10 * time.Millisecond}}), make([]byte, 1<<18)) // 0.64 s
	is.NoErr(err)
	is.NoErr(ctx.Err())
	is.Equal(n, 1<<18)
}

func TestIdleTransferIsCancelled(t *testing.T) {
	is := is.New(t)
	ctx, cancel := New(context.Background(), Limits{First: time.Minute, Silence: 20 * time.Millisecond, Most: time.Minute})
	defer cancel()
	n := readUntil(ctx, Reader(ctx, &trickleReader{pause: time.Millisecond, bytes: 1}))
	is.Equal(n, 1)
	<-ctx.Done()
	is.True(errors.Is(context.Cause(ctx), ErrSilent))
}

func TestTransferWithoutFirstByteIsCancelled(t *testing.T) {
	is := is.New(t)
	ctx, cancel := New(context.Background(), Limits{First: 10 * time.Millisecond, Silence: time.Minute, Most: time.Minute})
	defer cancel()
	<-ctx.Done()
	is.True(errors.Is(context.Cause(ctx), ErrSilent))
}

func TestSlowTransferEndsAtTotalLimit(t *testing.T) {
	is := is.New(t)
	ctx, cancel := New(context.Background(), Limits{First: time.Minute, Silence: time.Minute, Most: 50 * time.Millisecond})
	defer cancel()
	readUntil(ctx, Reader(ctx, &trickleReader{pause: time.Millisecond, bytes: 1 << 20}))
	is.True(errors.Is(ctx.Err(), context.DeadlineExceeded))
}

func TestReaderIsUnchangedForOtherContexts(t *testing.T) {
	is := is.New(t)
	r := strings.NewReader("")
	is.Equal(Reader(context.Background(), r), io.Reader(r))
}
