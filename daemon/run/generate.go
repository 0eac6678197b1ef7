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
	prefixBytes = 256 // leading bytes of a prompt that are hashed, to find a target that has them cached
	gapFactor   = 8   // a stream is silent after this many mean token gaps
	tokenRing   = 64
	// silenceSteps is the number of timer steps in which a target's silence is counted. A stall
	// of this host counts as at most one step: it is not silence of the target, and the part of
	// the stream that is already buffered in the connection would be run again elsewhere.
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

// generate streams a response from a model engine. A broken stream is resumed at
// another target after the last token that was recorded.
func (j *job) generate(ctx context.Context) (billed uint64, err error) {
	err = j.attemptTargets(ctx, j.generateAt)
	if err != nil {
		return 0, err
	}
	return j.promptTokens() + uint64(j.run.next()), nil
}

// generateAt streams from one target.
func (j *job) generateAt(ctx context.Context, t *target.Target) attempt {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	from := j.run.next()
	s := &stream{job: j, target: t, from: from, ring: make(chan *platformv1.GenerateResponse, tokenRing), failed: make(chan error, 1)}
	before := j.dispatched
	j.dispatched = true
	guard.Go("target stream", func() { s.read(ctx) })
	res := s.receive(ctx)
	if res.verdict == notStarted {
		j.dispatched = before
	}
	j.settleAttempt(s, res.verdict)
	return res
}

// settleAttempt adds the tokens that an attempt used. A target that broke off or overran is
// sent a cancel, which returns its use; if it does not know, the worst case counts.
func (j *job) settleAttempt(s *stream, v verdict) {
	if v == notStarted {
		return
	}
	if v == completed && !s.overran {
		j.used += j.promptTokens() + uint64(j.run.next()-s.from)
		return
	}
	left := uint64(max(j.decision.Tokens-int(s.from), 0))
	j.used += j.cancelAt(s.target, j.promptTokens()+left+j.margin())
}

// stream is the response of one target.
type stream struct {
	job    *job
	target *target.Target
	from   uint32
	ring   chan *platformv1.GenerateResponse // when full, reading from the target stops
	failed chan error
	// overran says that the target exceeded the maximum and was cut off there.
	overran bool
}

// read moves messages from the connection to the ring.
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

// receive records the tokens of the stream and watches for silence.
func (s *stream) receive(ctx context.Context) attempt {
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
			done, err := s.accept(m)
			if done || err != nil {
				return s.ended(err, begun)
			}
			now := time.Now()
			j.gap(now, last)
			last = now
			limit, steps = s.silenceLimit(begun, now), 0
			step.Reset(limit / silenceSteps)
		case err := <-s.failed:
			return s.drain(err, begun)
		case <-step.C:
			if steps++; steps >= silenceSteps {
				return attempt{verdict: broken, err: errkind.New(errkind.TargetFailed, "silent for %v", time.Since(last))}
			}
			step.Reset(limit / silenceSteps)
		case <-ctx.Done():
			return attempt{verdict: broken, err: ctx.Err()}
		}
	}
}

// drain records the messages received before the connection failed.
func (s *stream) drain(err error, begun time.Time) attempt {
	for {
		select {
		case m := <-s.ring:
			if done, wrong := s.accept(m); done || wrong != nil {
				return s.ended(wrong, begun)
			}
		default:
			t := classify(err)
			if t.verdict == notStarted && s.job.run.next() > s.from {
				t.verdict = broken
			}
			return t
		}
	}
}

func (s *stream) ended(err error, begun time.Time) attempt {
	if err != nil {
		return attempt{verdict: broken, err: err}
	}
	t := attempt{verdict: completed}
	if n := s.job.run.next() - s.from; n > 0 {
		t.gap = time.Since(begun) / time.Duration(n)
	}
	return t
}

// silenceLimit returns how long the stream may be silent: several times its mean token gap, at
// least the setting silent_after.
func (s *stream) silenceLimit(begun, now time.Time) time.Duration {
	n := max(s.job.run.next()-s.from, 1)
	return max(s.job.engine.watch.SilentAfter, gapFactor*now.Sub(begun)/time.Duration(n))
}

// accept checks one message and records its token. The response is complete at its end
// marker, or at the maximum if the target exceeds it.
func (s *stream) accept(m *platformv1.GenerateResponse) (done bool, err error) {
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
		return false, nil // duplicate
	case m.Index > next:
		return false, errkind.New(errkind.TargetFailed, "token %d came where %d was next", m.Index, next)
	case int(next) >= j.decision.Tokens:
		s.overran = true
		return true, nil
	}
	j.run.add(m.Token)
	return false, nil
}

// gap records the time between two tokens, or until the first one.
func (j *job) gap(now, last time.Time) {
	if j.first.IsZero() {
		j.first = now
		j.engine.metrics.FirstToken(j.org, j.class, now.Sub(j.start))
		return
	}
	j.engine.metrics.Gap(j.org, j.class, now.Sub(last))
}
