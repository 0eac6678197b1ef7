package replica

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"maststage.dev/router/eventlog"
)

// rec is a record of a log that was never restored.
func rec(key, value string, offset int64) eventlog.Record {
	return eventlog.Record{Key: key, Value: []byte(value), Position: at(offset)}
}

// merged returns a replica that read records one by one from the begin of the log.
func merged(records ...eventlog.Record) *Replica {
	r := New(Options{DedupKey: func(rec eventlog.Record) any { return string(rec.Value) }})
	r.Merge(nil, at(0), at(0))
	for _, record := range records {
		r.Merge([]eventlog.Record{record}, record.Position.Plus(1), record.Position)
	}
	return r
}

// Guards against an update that claims to be complete and lacks a change, which its reader then never accounts for, and
// against one that does not claim it though it lacks none, so that each change counts as one after a gap.
func TestUpdateIsCompleteIfNoOtherChangeOfTheKeysIsMissing(t *testing.T) {
	skipped := merged(rec("a", "1", 0), rec("b", "1", 1))
	skipped.MergeNewest([]eventlog.Record{rec("a", "5", 5)}, at(6)) // from another host; others may be at 2 to 4
	reloaded := merged(rec("a", "1", 0))
	reloaded.replaceAll([]eventlog.Record{rec("a", "9", 9)}, at(10))
	beyondGap := merged(rec("a", "1", 0))
	beyondGap.Merge([]eventlog.Record{rec("a", "9", 9)}, at(10), at(9))
	continued := merged(rec("a", "1", 0))
	continued.MergeNewest([]eventlog.Record{rec("a", "5", 5)}, at(6))
	continued.Merge([]eventlog.Record{rec("a", "6", 6)}, at(7), at(6))
	unchanged := merged(rec("b", "1", 0), rec("a", "1", 1), rec("a", "1", 2))
	unchanged.MergeNewest([]eventlog.Record{rec("a", "1", 5)}, at(6)) // it may have changed at 2 to 4
	for name, c := range map[string]struct {
		replica  *Replica
		from     int64
		complete bool
		records  int
	}{
		"nothing changed":                           {merged(rec("a", "1", 0)), 1, true, 0},
		"one change of one key":                     {merged(rec("a", "1", 0), rec("a", "2", 1)), 1, true, 1},
		"the first record of a key":                 {merged(rec("a", "1", 0), rec("b", "2", 1)), 1, true, 1},
		"one change of each of two keys":            {merged(rec("a", "1", 0), rec("b", "1", 1), rec("a", "2", 2), rec("b", "2", 3)), 2, true, 2},
		"two changes of one key":                    {merged(rec("a", "1", 0), rec("a", "2", 1), rec("a", "3", 2)), 1, false, 1},
		"the second of two changes":                 {merged(rec("a", "1", 0), rec("a", "2", 1), rec("a", "3", 2)), 2, true, 1},
		"two changes of one of two keys":            {merged(rec("b", "1", 0), rec("a", "2", 1), rec("a", "3", 2), rec("b", "2", 3)), 1, false, 2},
		"changed and changed back":                  {merged(rec("a", "1", 0), rec("a", "2", 1), rec("a", "1", 2)), 1, false, 1},
		"deleted and written again":                 {merged(rec("a", "1", 0), rec("a", "", 1), rec("a", "2", 2)), 1, false, 1},
		"the first record of the log":               {merged(rec("a", "1", 0)), 0, true, 1},
		"both first records of the log":             {merged(rec("a", "1", 0), rec("a", "2", 1)), 0, false, 1},
		"heartbeats after a change":                 {merged(rec("a", "1", 0), rec("a", "2", 1), rec("a", "2", 2), rec("a", "2", 3)), 1, true, 1},
		"skipped by this replica":                   {skipped, 2, false, 1},
		"skipped by this replica, but known before": {skipped, 5, true, 1},
		"loaded again":                              {reloaded, 1, true, 1}, // as a whole, see below
		"read beyond a gap":                         {beyondGap, 1, false, 1},
		"a change after a skipped one":              {continued, 6, true, 1},
		"a skipped one and a change":                {continued, 2, false, 1},
		"a heartbeat beyond a gap":                  {unchanged, 1, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			update, ok := c.replica.UpdateSince(at(c.from))
			is.Equal(len(update.Records), c.records)
			if !ok { // sent as a whole, which never counts as complete to its receiver
				is.True(c.replica.CatchUpFrom(at(c.from)).Full)
				return
			}
			is.Equal(update.Complete, c.complete)
		})
	}
}

// Guards against a follower that takes each change for one after a gap, or misses that it is.
func TestGapOfMergedUpdates(t *testing.T) {
	is := is.New(t)
	reader := merged(rec("a", "1", 0), rec("b", "1", 1))
	var changes []Change
	f := New(Options{OnChange: func(c []Change) { changes = append(changes, c...) }})
	gapsAfter := func() (gaps []bool) {
		changes = nil
		f.MergeUpdate(reader.CatchUpFrom(f.End()))
		is.Equal(f.End(), reader.End())
		for _, c := range changes {
			gaps = append(gaps, c.Gap)
		}
		return gaps
	}
	is.Equal(gapsAfter(), []bool{true, true}) // the first load

	reader.Merge([]eventlog.Record{rec("a", "2", 2)}, at(3), at(2))
	is.Equal(gapsAfter(), []bool{false})
	reader.Merge([]eventlog.Record{rec("a", "3", 3), rec("a", "4", 4)}, at(5), at(3))
	is.Equal(gapsAfter(), []bool{true})
	reader.Merge([]eventlog.Record{rec("c", "1", 5)}, at(6), at(5))
	is.Equal(gapsAfter(), []bool{false})
	reader.MergeNewest([]eventlog.Record{rec("a", "9", 9)}, at(10))
	is.Equal(gapsAfter(), []bool{true})
	reader.Merge([]eventlog.Record{rec("a", "10", 10)}, at(11), at(10))
	is.Equal(gapsAfter(), []bool{false})
	is.Equal(gapsAfter(), nil)

	// The follower's own followers get what it knows, with its gaps.
	update, ok := f.UpdateSince(at(10))
	is.True(ok && update.Complete)
	update, ok = f.UpdateSince(at(6))
	is.True(ok && !update.Complete)

	// The first load has a gap even of an update that is complete from the begin of the log on.
	changes = nil
	f = New(Options{OnChange: f.opts.OnChange})
	f.MergeUpdate(Update{Records: []eventlog.Record{rec("a", "1", 0)}, End: at(1), Complete: true})
	is.Equal(len(changes), 1)
	is.True(changes[0].Gap)
}

// Guards against a replica that counts as fresh though the host that says so knows more, or is in another era, or said
// so earlier.
func TestConfirmMakesAsFreshAsTheSource(t *testing.T) {
	const era = 2
	position := func(era, offset int64) eventlog.Position { return eventlog.Position{Era: era, Offset: offset} }
	for name, c := range map[string]struct {
		end  eventlog.Position
		age  time.Duration
		want time.Duration // the replica is a minute old
	}{
		"knows as many":        {position(era, 5), time.Second, time.Second},
		"knows fewer":          {position(era, 4), time.Second, time.Second},
		"knows more":           {position(era, 6), time.Second, time.Minute},
		"an earlier era":       {position(era-1, 5), time.Second, time.Minute},
		"an earlier era, less": {position(era-1, 0), time.Second, time.Minute},
		"a later era":          {position(era+1, 0), time.Second, time.Minute},
		"older":                {position(era, 5), time.Hour, time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := New(Options{})
				r.Merge(nil, position(era, 5), position(era, 0))
				r.recordContact(time.Minute, nil)
				r.Confirm(c.end, c.age)
				is.Equal(r.Age(), c.want)
			})
		})
	}
	r := New(Options{})
	r.Confirm(eventlog.Position{}, 0)
	is.New(t).True(r.Age() > time.Hour) // not loaded, it knows nothing
}

// Guards against a replica that becomes older by an old response that arrives after a newer one.
func TestContactNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := New(Options{})
		r.recordContact(time.Second, nil)
		r.recordContact(time.Minute, nil)
		is.Equal(r.Age(), time.Second)
	})
}

// Guards against readers that hold their followers' calls beyond a change or for ever, or not at all, so that followers
// ask in a loop.
func TestWaitForChange(t *testing.T) {
	const most = time.Second
	for name, c := range map[string]struct {
		from   eventlog.Position
		during func(r *Replica, cancel func()) // after a quarter of the time
		want   time.Duration
	}{
		"a change before":         {at(1), func(*Replica, func()) {}, 0},
		"from the begin":          {at(0), func(*Replica, func()) {}, 0},
		"of an earlier era":       {eventlog.Position{Era: -1, Offset: 9}, func(*Replica, func()) {}, 0},
		"nothing":                 {at(2), func(*Replica, func()) {}, most},
		"beyond the end":          {at(9), func(*Replica, func()) {}, most},
		"a change":                {at(2), func(r *Replica, _ func()) { r.Merge([]eventlog.Record{rec("a", "3", 2)}, at(3), at(2)) }, most / 4},
		"a merged change":         {at(2), func(r *Replica, _ func()) { r.MergeNewest([]eventlog.Record{rec("b", "3", 5)}, at(6)) }, most / 4},
		"a deletion":              {at(2), func(r *Replica, _ func()) { r.Merge([]eventlog.Record{rec("a", "", 2)}, at(3), at(2)) }, most / 4},
		"a key that a load lacks": {at(2), func(r *Replica, _ func()) { r.replaceAll(nil, at(5)) }, most / 4},
		"a later era":             {at(2), func(r *Replica, _ func()) { r.replaceAll(nil, eventlog.Position{Era: 1}) }, most / 4},
		"a heartbeat":             {at(2), func(r *Replica, _ func()) { r.Merge([]eventlog.Record{rec("a", "2", 2)}, at(3), at(2)) }, most},
		"an empty response":       {at(2), func(r *Replica, _ func()) { r.Merge(nil, at(2), at(2)) }, most},
		"an end of the caller":    {at(2), func(_ *Replica, cancel func()) { cancel() }, most / 4},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := merged(rec("a", "1", 0), rec("a", "2", 1))
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				began := time.Now()
				go func() {
					time.Sleep(most / 4)
					c.during(r, cancel)
				}()
				r.WaitForChange(ctx, c.from, most)
				is.Equal(time.Since(began), c.want)
				time.Sleep(most)
			})
		})
	}
}

// Guards against followers that ask in a loop for a partition that is empty or not loaded yet.
func TestWaitForChangeOfAnEmptyPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := New(Options{})
		began := time.Now()
		r.WaitForChange(t.Context(), at(0), time.Second) // not loaded
		r.Merge(nil, at(0), at(0))
		r.WaitForChange(t.Context(), at(0), time.Second) // empty
		is.Equal(time.Since(began), 2*time.Second)

		time.AfterFunc(300*time.Millisecond, func() { r.Merge([]eventlog.Record{rec("a", "1", 0)}, at(1), at(0)) })
		r.WaitForChange(t.Context(), at(0), time.Second)
		is.Equal(time.Since(began), 2300*time.Millisecond)
	})
}

// Guards against a deletion without a record in the log, of a key that was lost with it, that counts as all that happened
// to the key.
func TestDeletionOfALostKeyIsNotComplete(t *testing.T) {
	is := is.New(t)
	r := New(Options{KeepLost: time.Minute})
	r.Merge([]eventlog.Record{rec("lost", "1", 0), rec("lost", "2", 1)}, at(2), at(0))
	r.replaceAll(nil, eventlog.Position{Era: 1})
	end := eventlog.Position{Era: 1, Offset: 1}
	r.Merge([]eventlog.Record{{Key: "other", Value: []byte("1"), Position: eventlog.Position{Era: 1}}}, end, eventlog.Position{Era: 1})
	r.dropUnconfirmed(time.Now().Add(time.Hour))
	update, ok := r.UpdateSince(eventlog.Position{Era: 1})
	is.True(ok)
	is.Equal(len(update.Records), 2)
	is.True(!update.Complete)
}
