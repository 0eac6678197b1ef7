package run

import (
	"context"
	"errors"
	"hash/fnv"
	"net"
	"time"

	"connectrpc.com/connect"
	log "github.com/sirupsen/logrus"

	platformv1 "maststage.dev/api/platform/v1"
	"maststage.dev/daemon/target"
	"maststage.dev/lib/errkind"
	"maststage.dev/lib/guard"
)

const (
	prefixBytes   = 256 // of a prompt, hashed to find a target that has it cached
	cancelTimeout = 300 * time.Millisecond
	gapFactor     = 8 // times the mean gap between tokens is silence
	tokenRing     = 64
)

// verdict is how a try at a target ended.
type verdict int

const (
	whole  verdict = iota // the answer is complete
	notRun                // the target surely did not begin
	broken                // it began, or may have
)

// try is one order to one target.
type try struct {
	verdict verdict
	left    bool // the target says it is leaving
	err     error
	gap     time.Duration
}

func prefixHash(input []byte) uint64 {
	if len(input) == 0 {
		return 0
	}
	h := fnv.New64a()
	h.Write(input[:min(len(input), prefixBytes)])
	return h.Sum64()
}

// generate streams an answer from a model engine. A stream that breaks is
// resumed at another target behind the last token that was passed on.
func (j *job) generate(ctx context.Context) (billed uint64, err error) {
	err = j.tryTargets(ctx, j.generateAt)
	if err != nil {
		return 0, err
	}
	return j.promptTokens() + uint64(j.run.next()), nil
}

// tryTargets sends the order to one target after another until one answers.
func (j *job) tryTargets(ctx context.Context, order func(context.Context, *target.Target) try) error {
	tried := map[string]bool{}
	for n := 0; ; n++ {
		if err := j.cover(ctx); err != nil {
			return err
		}
		queued := time.Now()
		t, err := j.acquire(ctx, tried)
		if err != nil {
			return j.cause(ctx, err)
		}
		j.engine.metrics.Queued(j.org, j.class, time.Since(queued))
		begun := time.Now()
		j.target = t.Name
		res := order(ctx, t)
		j.engine.targets.Release(t, target.Result{
			Priority: j.decision.Rank,
			Failed:   res.verdict == broken && ctx.Err() == nil, Left: res.left,
			Held: time.Since(begun), Gap: res.gap,
		})
		if res.verdict == whole {
			return nil
		}
		log.WithFields(log.Fields{"request": j.run.req.RequestId, "target": t.Name}).WithError(res.err).Debug("a target failed")
		tried[t.Name] = true
		if err := j.again(ctx, n, res); err != nil {
			return err
		}
	}
}

// acquire gets a slot at a target that was not tried, or at any if all were.
func (j *job) acquire(ctx context.Context, tried map[string]bool) (*target.Target, error) {
	t, err := j.engine.targets.Acquire(ctx, j.want(tried))
	if err != nil && len(tried) > 0 && errkind.From(err).Kind == errkind.Unavailable {
		clear(tried)
		return j.engine.targets.Acquire(ctx, j.want(tried))
	}
	return t, err
}

// again says why no other target is tried, nil if one is.
func (j *job) again(ctx context.Context, n int, res try) error {
	if ctx.Err() != nil {
		return j.cause(ctx, res.err)
	}
	if res.verdict == broken && j.decision.Single {
		return errkind.New(errkind.Unknown, "the target's answer was lost: %w", res.err)
	}
	if n >= j.engine.watch.Retries || !j.engine.targets.Retry() {
		if j.dispatched {
			return errkind.New(errkind.TargetFailed, "no more tries: %w", res.err)
		}
		// Overloaded rather than Unavailable: another host would find the same.
		return errkind.New(errkind.Overloaded, "no target takes it: %w", res.err)
	}
	return nil
}

// cause prefers the reason for which ctx ended to err.
func (j *job) cause(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

// generateAt streams from one target.
func (j *job) generateAt(ctx context.Context, t *target.Target) try {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	from := j.run.next()
	s := &stream{job: j, target: t, from: from, ring: make(chan *platformv1.GenerateResponse, tokenRing), failed: make(chan error, 1)}
	before := j.dispatched
	j.dispatched = true
	guard.Go("target stream", func() { s.read(ctx) })
	res := s.pass(ctx)
	if res.verdict == notRun {
		j.dispatched = before
	}
	j.settleTry(s, res.verdict)
	return res
}

// settleTry adds what a try used. A target that broke off or overran is told to
// cancel and asked; if it can't say, the worst case counts.
func (j *job) settleTry(s *stream, v verdict) {
	if v == notRun {
		return
	}
	if v == whole && !s.overran {
		j.used += j.promptTokens() + uint64(j.run.next()-s.from)
		return
	}
	left := uint64(max(j.decision.Tokens-int(s.from), 0))
	j.used += j.cancelAt(s.target, j.promptTokens()+left+j.margin())
}

// cancelAt stops a run at a target and says what it used, or worst if the target
// can't say.
func (j *job) cancelAt(t *target.Target, worst uint64) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	res, err := t.Client.Cancel(ctx, connect.NewRequest(&platformv1.CancelRequest{RequestId: j.run.id}))
	if err != nil || !res.Msg.Known {
		return worst
	}
	return uint64(res.Msg.Tokens)
}

// stream is the answer of one target.
type stream struct {
	job    *job
	target *target.Target
	from   uint32
	ring   chan *platformv1.GenerateResponse // when full, the target is not read on
	failed chan error
	// overran says that the target went on past the maximum and was cut there.
	overran bool
}

// read moves messages from the connection into the ring.
func (s *stream) read(ctx context.Context) {
	j := s.job
	st, err := s.target.Client.Generate(ctx, connect.NewRequest(&platformv1.GenerateRequest{
		RequestId: j.run.id, Fence: j.engine.store.Epoch(), Prompt: j.run.req.Input,
		MaxTokens: uint32(j.decision.Tokens), ResumeFrom: s.from,
		Priority: uint32(max(j.decision.Rank, 0)), Account: j.budget,
	}))
	if err != nil {
		s.failed <- err
		return
	}
	defer st.Close()
	for st.Receive() {
		select {
		case s.ring <- st.Msg():
		case <-ctx.Done():
			return
		}
	}
	err = st.Err()
	if err == nil {
		err = errors.New("the stream ended without an end mark")
	}
	s.failed <- err
}

// pass hands tokens on and watches for silence.
func (s *stream) pass(ctx context.Context) try {
	j := s.job
	limit := j.engine.watch.FirstToken
	begun := time.Now()
	last := begun
	silence := time.NewTimer(limit)
	defer silence.Stop()
	for {
		select {
		case m := <-s.ring:
			done, err := s.take(m)
			if done || err != nil {
				return s.ended(err, begun)
			}
			now := time.Now()
			j.gap(now, last)
			last = now
			silence.Reset(s.patience(begun, now))
		case err := <-s.failed:
			return s.drain(err, begun)
		case <-silence.C:
			return try{verdict: broken, err: errkind.New(errkind.TargetFailed, "silent for %v", time.Since(last))}
		case <-ctx.Done():
			return try{verdict: broken, err: ctx.Err()}
		}
	}
}

// drain hands on what came before the connection failed.
func (s *stream) drain(err error, begun time.Time) try {
	for {
		select {
		case m := <-s.ring:
			if done, wrong := s.take(m); done || wrong != nil {
				return s.ended(wrong, begun)
			}
		default:
			t := classify(err)
			if t.verdict == notRun && s.job.run.next() > s.from {
				t.verdict = broken
			}
			return t
		}
	}
}

func (s *stream) ended(err error, begun time.Time) try {
	if err != nil {
		return try{verdict: broken, err: err}
	}
	t := try{verdict: whole}
	if n := s.job.run.next() - s.from; n > 0 {
		t.gap = time.Since(begun) / time.Duration(n)
	}
	return t
}

// patience is how long the stream may be silent: several times its own pace.
func (s *stream) patience(begun, now time.Time) time.Duration {
	n := max(s.job.run.next()-s.from, 1)
	return max(s.job.engine.watch.SilentAfter, gapFactor*now.Sub(begun)/time.Duration(n))
}

// take checks one message and passes its token on. The answer is done at its
// end mark, or at the maximum if the target goes on past it.
func (s *stream) take(m *platformv1.GenerateResponse) (done bool, err error) {
	j := s.job
	if m.RequestId != j.run.id {
		return false, errkind.New(errkind.TargetFailed, "the answer belongs to another request")
	}
	if m.End {
		if m.Index != j.run.next() {
			return false, errkind.New(errkind.TargetFailed, "the end mark counts %d tokens, %d came", m.Index, j.run.next())
		}
		return true, nil
	}
	switch next := j.run.next(); {
	case m.Index < next:
		return false, nil // sent twice
	case m.Index > next:
		return false, errkind.New(errkind.TargetFailed, "token %d came where %d was next", m.Index, next)
	case int(next) >= j.decision.Tokens:
		s.overran = true
		return true, nil
	}
	j.run.add(m.Token)
	return false, nil
}

// gap records the time between tokens, or to the first one.
func (j *job) gap(now, last time.Time) {
	if j.first.IsZero() {
		j.first = now
		j.engine.metrics.FirstToken(j.org, j.class, now.Sub(j.start))
		return
	}
	j.engine.metrics.Gap(j.org, j.class, now.Sub(last))
}

// classify says from a target's error whether it began with the order. Only a
// refused connection and the target's own word count as "did not".
func classify(err error) try {
	t := try{verdict: broken, err: err}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		t.verdict = notRun
		return t
	}
	var ce *connect.Error
	if !errors.As(err, &ce) || !connect.IsWireError(err) {
		return t
	}
	switch ce.Code() {
	case connect.CodeResourceExhausted, connect.CodeFailedPrecondition, connect.CodePermissionDenied:
		t.verdict = notRun
	case connect.CodeUnavailable:
		// A target that leaves says so before it begins.
		t.verdict = notRun
		t.left = true
	}
	return t
}
