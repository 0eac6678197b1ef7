package run

import (
	"context"
	"errors"
	"hash/fnv"
	"time"

	"connectrpc.com/connect"
	platformv1 "maststage.dev/api/platform/v1"
	"maststage.dev/daemon/target"
	"maststage.dev/lib/errkind"
	"maststage.dev/lib/guard"
)

const (
	prefixBytes = 256 // of a prompt, hashed to find a target that has it cached
	gapFactor   = 8   // times the mean gap between tokens is silence
	tokenRing   = 64
	// silenceSteps is in how many steps a target's silence is counted. A time in which this
	// host itself stood still counts as one of them: it is no silence of the target, and the
	// stream that lies in the connection would be run again elsewhere.
	silenceSteps = 8
)

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
	step := time.NewTimer(limit / silenceSteps)
	defer step.Stop()
	steps := 0
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
			limit, steps = s.patience(begun, now), 0
			step.Reset(limit / silenceSteps)
		case err := <-s.failed:
			return s.drain(err, begun)
		case <-step.C:
			if steps++; steps >= silenceSteps {
				return try{verdict: broken, err: errkind.New(errkind.TargetFailed, "silent for %v", time.Since(last))}
			}
			step.Reset(limit / silenceSteps)
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
