package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/patience"
	"maststage.dev/lib/wait"
	"maststage.dev/router/eventlog"
	"maststage.dev/router/replica"
)

// Bounds on the calls of a follower.
const (
	maxReadersTried = 3 // in a row
	// followHold is how long a reader may hold a call until there is something new.
	followHold = 700 * time.Millisecond
	// followTimeout is how much longer than that a reader may be silent: a round trip over a full link takes up to 0.6 s.
	followTimeout = 800 * time.Millisecond
	// lateGrace is how much longer the response of a silent reader is taken. Where callers fill this host's link, each round
	// trip may take over a second, and a call that was given up would begin with a new connection.
	lateGrace = 4 * time.Second
	// minFollowTime is the least time that a reader may be silent, when it is about to count that none responds.
	minFollowTime = 100 * time.Millisecond
	// maxFollowedAge is the age of a reader's response above which another reader is asked next.
	maxFollowedAge = 3 * time.Second
)

// Follow returns the changes of a topic from a position on as a reader has them, if this host follows readers. It
// waits up to followHold for the first change. An error is a replica.ErrNoReader. While no reader responds, isFollower is
// false for topics that this host may read itself.
func (f *Fleet) Follow(ctx context.Context, topic string, from eventlog.Position) (update replica.Update, isFollower bool, err error) {
	r := f.readers
	switch r.await(ctx, topic) {
	case direct, reading:
		return replica.Update{}, false, nil
	case undecided:
		return replica.Update{}, true, fmt.Errorf("%w: %w", replica.ErrNoReader, ctx.Err())
	}
	readsAlone := f.readsAlone(topic, from)
	if readsAlone && r.cutOff() {
		return replica.Update{}, false, nil
	}
	f.exchangeFigures(ctx)
	err = errNoneKnown
	tried := map[string]bool{}
	for range maxReadersTried {
		address := r.next(tried) // others may be readers by now
		if address == "" {
			break
		}
		tried[address] = true
		update, err = f.followReader(ctx, address, topic, from)
		if err == nil {
			r.responded()
			return update, true, nil
		}
		r.requestLook()
		if readsAlone && r.cutOff() {
			return replica.Update{}, false, nil
		}
	}
	return replica.Update{}, true, fmt.Errorf("%w: %w", replica.ErrNoReader, err)
}

// readsAlone reports whether this host may read a topic itself while no reader responds. A topic that it has not loaded is
// not read: as a large fleet starts, all hosts would.
func (f *Fleet) readsAlone(topic string, from eventlog.Position) bool {
	return f.opts.ReadAlone[topic] && from != eventlog.Position{}
}

// errNoneKnown means that this host knows no readers.
var errNoneKnown = errors.New("none is known")

// followReader asks one reader. A response that comes too late for this call is merged as it comes.
func (f *Fleet) followReader(ctx context.Context, address, topic string, from eventlog.Position) (replica.Update, error) {
	began := time.Now()
	silence := f.readers.silenceOf(f.readsAlone(topic, from))
	update, err := patience.Await(ctx, patience.Limits{First: silence, Silence: pullTimeout, Most: maxFetchTime}, lateGrace,
		func(ctx context.Context) (replica.Update, error) { return f.callReader(ctx, address, topic, from) },
		func(late replica.Update) { f.mergeLate(address, topic, late) })
	if ctx.Err() == nil {
		f.recordCallResult(address, err)
	}
	if err != nil {
		return replica.Update{}, err
	}
	if update.Age > maxFollowedAge {
		f.recordCallResult(address, errOutdated)
		f.readers.requestLook()
	}
	if len(update.Records) == 0 {
		// A reader of an earlier build responds at once.
		wait.For(ctx, followHold/2-time.Since(began))
	}
	return update, nil
}

// callReader makes one call to a reader.
func (f *Fleet) callReader(ctx context.Context, address, topic string, from eventlog.Position) (replica.Update, error) {
	request := newPullRequest(map[string]eventlog.Position{topic: from})
	request.WaitMs = followHold.Milliseconds()
	began := time.Now()
	var response pullResponse
	if err := f.followClient.call(ctx, address, pathPull, request, &response); err != nil {
		return replica.Update{}, err
	}
	encoded, found := response.Topics[topic]
	if !found {
		return replica.Update{}, errNotAhead
	}
	update, err := encoded.update()
	if err != nil {
		log.WithField("peer", address).WithError(err).Error("cannot decode records from another host")
		return replica.Update{}, err
	}
	update.Age += max(time.Since(began)-time.Duration(response.HeldMs)*time.Millisecond, 0) // the transfer's time
	return update, nil
}

// mergeLate applies a reader's response that came after another one was asked.
func (f *Fleet) mergeLate(address, topic string, update replica.Update) {
	f.recordCallResult(address, nil)
	f.readers.responded()
	c := f.opts.Replicas[topic]
	if c == nil {
		return
	}
	c.MergeUpdate(update)
	c.Confirm(update.End, update.Age)
}

// Errors of readers that respond.
var (
	errNotAhead = errors.New("the reader knows less of the topic than this host")
	errOutdated = errors.New("the log has not responded to the reader for a while")
)

// exchangeFigures exchanges figures with a host of the failure domain if that is due.
func (f *Fleet) exchangeFigures(ctx context.Context) {
	turn, due := f.exchangeDue(time.Now())
	if !due {
		return
	}
	collectors := f.relays(figuresDuty, turn)
	if len(collectors) == 0 {
		f.exchange.exchangeWithSelf(time.Now())
		return
	}
	request := newPullRequest(nil)
	request.EndsOnly = true
	request.Host, request.Offers = f.opts.Self.Name, f.exchange.offers(time.Now())
	call, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	var response pullResponse
	err := f.client.call(call, collectors[0], pathPull, request, &response)
	f.recordCallResult(collectors[0], err)
	if err == nil {
		f.exchange.apply(collectors[0], response.Summaries, time.Now())
	}
}

// figuresDuty names the hosts of a failure domain that collect figures where the list of targets is not relayed.
const figuresDuty = "figures"
