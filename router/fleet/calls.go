package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/patience"
	"maststage.dev/router/prepaid"
	"maststage.dev/router/quarantine"
	"maststage.dev/router/recordpack"
	"maststage.dev/router/replica"
)

// Paths of the calls between hosts.
const (
	pathPull    = "/fleet/records"
	pathLend    = "/fleet/lend"
	pathRecall  = "/fleet/recall"
	pathGive    = "/fleet/give"
	pathHistory = "/fleet/history"
)

// maxCallBytes bounds a call's body.
const maxCallBytes = 1 << 20

// pullRequest names the offset of each topic from which the caller lacks records.
type pullRequest struct {
	From map[string]int64 `json:"from"`
	// EndsOnly asks how far the other host knows the topics, without their records.
	EndsOnly bool `json:"ends_only,omitempty"`
}

type pullResponse struct {
	Topics map[string]topicPart `json:"topics"`
	// Quarantine lists the requests in quarantine that the topic may not tell of.
	Quarantine []quarantine.Entry `json:"quarantine,omitempty"`
}

// topicPart is the changed records of a topic; all below End are known there.
type topicPart struct {
	Packed []byte `json:"packed,omitempty"` // the records, by recordpack
	End    int64  `json:"end"`
	AgeMs  int64  `json:"age_ms"`          // since the log told of them
	Whole  bool   `json:"whole,omitempty"` // these are all records that there are
}

func newTopicPart(changed replica.Update) (topicPart, error) {
	packed, err := recordpack.Pack(changed.Records)
	return topicPart{Packed: packed, End: changed.End, AgeMs: changed.Age.Milliseconds(), Whole: changed.Full}, err
}

// part turns a part of an answer into that of a copy.
func (p topicPart) part() (replica.Update, error) {
	records, err := recordpack.Unpack(p.Packed)
	return replica.Update{Records: records, End: p.End, Age: time.Duration(p.AgeMs) * time.Millisecond, Full: p.Whole}, err
}

type lendRequest struct {
	ID           string `json:"id"`
	Organisation string `json:"organisation"`
	Tokens       int64  `json:"tokens"` // needed
	FreeOnly     bool   `json:"free_only,omitempty"`
	Partly       bool   `json:"partly,omitempty"`
	// Cost is that of the request (prepaid.Request); absent: not known.
	Cost float64 `json:"cost,omitempty"`
}

type lendResponse struct {
	Tokens int64 `json:"tokens"`
	Keeper bool  `json:"keeper"`         // the lender takes slices of the budget from the log
	Free   int64 `json:"free"`           // what it could still lend
	Kept   bool  `json:"kept,omitempty"` // it keeps the last tokens for smaller requests
}

// recallRequest names loans that their borrower got no answer to and never uses.
type recallRequest struct {
	Loans []string `json:"loans"`
}

type recallResponse struct {
	Tokens int64 `json:"tokens"` // credited again
}

type giveRequest struct {
	ID           string `json:"id"`
	Incarnation  string `json:"incarnation"` // of the host that is to take them; no other does
	Organisation string `json:"organisation"`
	Tokens       int64  `json:"tokens"`
}

type giveResponse struct {
	Took        bool   `json:"took"`
	Incarnation string `json:"incarnation"` // of the host that answers
}

// notSent says whether a failed call surely did not reach the other host.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// statusError is another host's answer that it can't serve a call: one of an earlier build does not
// know all of them.
type statusError struct{ address, path, status string }

func (e *statusError) Error() string { return e.address + e.path + ": " + e.status }

// client calls other hosts.
type client struct {
	http    *http.Client
	timeout time.Duration // of a small call
}

func newClient(timeout time.Duration) *client {
	return &client{
		timeout: timeout,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: max(timeout, pullTimeout)}).DialContext,
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     5 * time.Second,
			DisableCompression:  true,
		}},
	}
}

// longestFetch bounds a fetch whose bytes keep coming. Another host may have them faster.
const longestFetch = 10 * time.Second

// do makes a small call; it ends after the client's timeout.
func (c *client) do(ctx context.Context, address, path string, ask, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.call(ctx, address, path, ask, answer)
}

// fetch makes a call that is worth waiting for, or whose answer may be large; it ends when
// the other host is silent for pullTimeout.
func (c *client) fetch(ctx context.Context, address, path string, ask, answer any) error {
	ctx, cancel := patience.New(ctx, patience.Limits{First: pullTimeout, Silence: pullTimeout, Most: longestFetch})
	defer cancel()
	return c.call(ctx, address, path, ask, answer)
}

func (c *client) call(ctx context.Context, address, path string, ask, answer any) error {
	body, err := json.Marshal(ask)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &statusError{address: address, path: path, status: resp.Status}
	}
	return json.NewDecoder(patience.Reader(ctx, resp.Body)).Decode(answer)
}

// Handler serves the calls of other hosts.
func (f *Fleet) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathPull, f.servePull)
	mux.HandleFunc("POST "+pathLend, f.serveLend)
	mux.HandleFunc("POST "+pathRecall, f.serveRecall)
	mux.HandleFunc("POST "+pathGive, f.serveGive)
	mux.HandleFunc("POST "+pathHistory, f.serveHistory)
	mux.HandleFunc("POST "+pathRollout, f.serveRollout)
	mux.HandleFunc("POST "+pathEnds, f.serveEnds)
	mux.HandleFunc("POST "+pathCleared, f.serveCleared)
	mux.HandleFunc("POST "+pathQuarantine, f.serveQuarantine)
	return mux
}

func (f *Fleet) servePull(w http.ResponseWriter, r *http.Request) {
	var ask pullRequest
	if !read(w, r, &ask) {
		return
	}
	answer := pullResponse{Topics: map[string]topicPart{}}
	if ask.EndsOnly && f.opts.Quarantine != nil {
		answer.Quarantine = f.opts.Quarantine.Unpersisted()
	}
	for topic, c := range f.opts.Replicas {
		from, wanted := ask.From[topic]
		if !wanted || c.End() < from {
			continue
		}
		if ask.EndsOnly {
			answer.Topics[topic] = topicPart{End: c.End()}
			continue
		}
		part, err := newTopicPart(c.CatchUpFrom(from))
		if err != nil {
			log.WithField("topic", topic).WithError(err).Error("records can't be packed for another host")
			continue
		}
		answer.Topics[topic] = part
	}
	write(w, answer)
}

func (f *Fleet) serveLend(w http.ResponseWriter, r *http.Request) {
	var ask lendRequest
	if !read(w, r, &ask) {
		return
	}
	loan := f.opts.Lend(r.Context(), prepaid.LoanRequest{ID: ask.ID, Organisation: ask.Organisation, Tokens: ask.Tokens, Cost: ask.Cost, FreeOnly: ask.FreeOnly, AllowPartial: ask.Partly})
	write(w, lendResponse{Tokens: loan.Tokens, Keeper: loan.Authoritative, Free: loan.Free, Kept: loan.Shed})
}

func (f *Fleet) serveRecall(w http.ResponseWriter, r *http.Request) {
	var ask recallRequest
	if !read(w, r, &ask) {
		return
	}
	var answer recallResponse
	for _, id := range ask.Loans {
		answer.Tokens += f.opts.Recall(id)
	}
	write(w, answer)
}

func (f *Fleet) serveGive(w http.ResponseWriter, r *http.Request) {
	var ask giveRequest
	if !read(w, r, &ask) {
		return
	}
	self := f.opts.Self.Incarnation
	// An earlier incarnation may have taken and spent the same gift.
	took := ask.Incarnation == self && f.opts.Credit(prepaid.Transfer{ID: ask.ID, Organisation: ask.Organisation, Tokens: ask.Tokens})
	log.WithFields(log.Fields{"gift": ask.ID, "organisation": ask.Organisation, "tokens": ask.Tokens, "took": took}).Info("tokens given by another host")
	write(w, giveResponse{Took: took, Incarnation: self})
}

func read(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCallBytes)).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func write(w http.ResponseWriter, answer any) {
	data, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The caller is gone if this fails, and asks again.
	_, _ = w.Write(data)
}
