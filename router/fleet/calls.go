package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/patience"
	"maststage.dev/router/eventlog"
	"maststage.dev/router/httpconn"
	"maststage.dev/router/permit"
	"maststage.dev/router/prepaid"
	"maststage.dev/router/quarantine"
	"maststage.dev/router/recordpack"
	"maststage.dev/router/replica"
	"maststage.dev/router/tunnel"
)

// Paths of the calls between hosts.
const (
	pathPull     = "/fleet/records"
	pathLend     = "/fleet/lend"
	pathRecall   = "/fleet/recall"
	pathTransfer = "/fleet/give"
	pathHistory  = "/fleet/history"
)

// maxCallBytes bounds the body of a request from another host.
const maxCallBytes = 1 << 20

// Bounds of a response of another host, so that one without end doesn't use up the memory.
const (
	maxResponseBytes       = 32 << 20 // four records of the largest size that the log accepts
	maxResponseHeaderBytes = 64 << 10
)

// pullRequest asks for the records of each topic from a position on.
type pullRequest struct {
	From map[string]int64 `json:"from"` // offsets
	// Eras are those of the offsets. Earlier builds don't send them.
	Eras map[string]int64 `json:"eras,omitempty"`
	// EndsOnly asks for the end offsets of the topics, without records.
	EndsOnly bool `json:"ends_only,omitempty"`
	// WaitMs is how long the responder may wait for changes. Earlier builds respond at once.
	WaitMs int64 `json:"wait_ms,omitempty"`
	// Host is the asking host, and Offers are its figures. Both are absent in most calls.
	Host   string  `json:"host,omitempty"`
	Offers figures `json:"offers,omitempty"`
}

// newPullRequest asks for the records of topics from the given positions on.
func newPullRequest(from map[string]eventlog.Position) pullRequest {
	r := pullRequest{From: map[string]int64{}, Eras: map[string]int64{}}
	for topic, position := range from {
		r.From[topic], r.Eras[topic] = position.Offset, position.Era
	}
	return r
}

// from returns the position from which records of a topic are wanted. That of an earlier build counts as being in the
// era of this host, known.
func (r pullRequest) from(topic string, known int64) (from eventlog.Position, wanted bool) {
	offset, wanted := r.From[topic]
	era := known
	if r.Eras != nil {
		era = r.Eras[topic]
	}
	return eventlog.Position{Era: era, Offset: offset}, wanted
}

type pullResponse struct {
	Topics map[string]topicUpdate `json:"topics"`
	// Quarantine lists quarantined requests that may be missing from the topic.
	Quarantine []quarantine.Entry `json:"quarantine,omitempty"`
	// HeldMs is how long the responder waited for changes.
	HeldMs int64 `json:"held_ms,omitempty"`
	// Summaries answers a request with offers.
	Summaries figures `json:"summaries,omitempty"`
}

// topicUpdate holds the changed records of a topic; the responder knows all records below End.
type topicUpdate struct {
	Packed []byte `json:"packed,omitempty"` // the records, by recordpack
	End    int64  `json:"end"`
	Era    int64  `json:"era,omitempty"` // of End and of the records
	AgeMs  int64  `json:"age_ms"`        // since the log last confirmed them
	// Aged means that AgeMs is set though no records were asked for. Earlier builds leave it 0 then.
	Aged     bool `json:"aged,omitempty"`
	Full     bool `json:"whole,omitempty"`    // the records are the whole topic
	Complete bool `json:"complete,omitempty"` // see replica.Update
	// KeptMs is replica.Update.Kept, in milliseconds.
	KeptMs map[string]int64 `json:"kept_ms,omitempty"`
}

func newTopicUpdate(changed replica.Update) (topicUpdate, error) {
	packed, err := recordpack.Pack(changed.Records)
	update := topicUpdate{
		Packed: packed, End: changed.End.Offset, Era: changed.End.Era, AgeMs: changed.Age.Milliseconds(), Full: changed.Full, Complete: changed.Complete,
	}
	for key, left := range changed.Kept {
		if update.KeptMs == nil {
			update.KeptMs = map[string]int64{}
		}
		update.KeptMs[key] = left.Milliseconds()
	}
	return update, err
}

// end is the position below which the responder knows all records.
func (p topicUpdate) end() eventlog.Position { return eventlog.Position{Era: p.Era, Offset: p.End} }

// maxAge bounds the ages that other hosts name. That of records which the log never confirmed is the longest duration, and
// would overflow when the time of a call is added.
const maxAge = 24 * time.Hour

// age is how long ago the log confirmed the responder's records.
func (p topicUpdate) age() time.Duration {
	return time.Duration(min(max(p.AgeMs, 0), maxAge.Milliseconds())) * time.Millisecond
}

// update decodes the response for one topic.
func (p topicUpdate) update() (replica.Update, error) {
	records, err := recordpack.Unpack(p.Packed, p.Era)
	update := replica.Update{Records: records, End: p.end(), Age: p.age(), Full: p.Full, Complete: p.Complete}
	for key, ms := range p.KeptMs {
		if update.Kept == nil {
			update.Kept = map[string]time.Duration{}
		}
		update.Kept[key] = time.Duration(ms) * time.Millisecond
	}
	return update, err
}

type lendRequest struct {
	ID           string `json:"id"`
	Organisation string `json:"organisation"`
	Tokens       int64  `json:"tokens"` // wanted
	FreeOnly     bool   `json:"free_only,omitempty"`
	AllowPartial bool   `json:"partly,omitempty"`
	// Cost is the cost of the request (prepaid.Request); absent if unknown.
	Cost float64 `json:"cost,omitempty"`
	// Priority is that of the request; absent if unknown.
	Priority *int `json:"priority,omitempty"`
	// Survey asks whether this many tokens could be lent, and for no loan; Tokens is then 0, since earlier builds
	// don't know it.
	Survey int64 `json:"survey,omitempty"`
}

type lendResponse struct {
	Tokens int64 `json:"tokens"`
	Keeper bool  `json:"keeper"`         // the lender takes tokens of the budget from the log
	Free   int64 `json:"free"`           // tokens that it could still lend
	Shed   bool  `json:"kept,omitempty"` // the request is shed: the last tokens are reserved for smaller ones
	// Survey answers a survey. Earlier builds don't send it.
	Survey *surveyResponse `json:"survey,omitempty"`
}

// recallRequest lists loans whose responses the borrower did not get; it never uses them.
type recallRequest struct {
	Loans []string `json:"loans"`
}

type recallResponse struct {
	Tokens int64 `json:"tokens"` // credited back to the lender
}

type transferRequest struct {
	ID           string `json:"id"`
	Incarnation  string `json:"incarnation"` // of the receiver; another incarnation refuses the transfer
	Organisation string `json:"organisation"`
	Tokens       int64  `json:"tokens"`
}

type transferResponse struct {
	Accepted    bool   `json:"took"`
	Incarnation string `json:"incarnation"` // of the responding host
}

// notSent reports whether a failed call certainly did not reach the other host.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// statusError means that another host responded but cannot serve the call: an earlier build
// does not know all calls.
type statusError struct{ address, path, status string }

func (e *statusError) Error() string { return e.address + e.path + ": " + e.status }

// client calls other hosts.
type client struct {
	http    *http.Client
	timeout time.Duration // of a call with a short response
}

// Idle connections to another host. If they all went silent, each would cost a call.
const (
	maxIdleConns       = 1
	maxIdleFollowConns = 3 // a follower makes one call for each topic at once
)

// patientDialTimeout bounds the dial of a call that is worth waiting for. A dial goes on when its call was given up, and takes
// a descriptor as long.
const patientDialTimeout = 3 * time.Second

// newClient returns a client whose calls use transport, or TCP connections if it is nil, of which at most maxIdle to
// each host are kept.
func newClient(timeout time.Duration, transport http.RoundTripper, maxIdle int) *client {
	return newDialingClient(timeout, max(timeout, pullTimeout), transport, maxIdle)
}

// newDialingClient is newClient with the time that a connection may take.
func newDialingClient(timeout, dialTimeout time.Duration, transport http.RoundTripper, maxIdle int) *client {
	if transport == nil {
		transport = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdle,
			IdleConnTimeout:     5 * time.Second,
			DisableCompression:  true,

			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		}
	}
	return &client{timeout: timeout, http: &http.Client{Transport: transport}}
}

// maxFetchTime bounds a fetch that keeps making progress; another host may be faster.
const maxFetchTime = 10 * time.Second

// callWithTimeout makes a call that ends after the client's timeout.
func (c *client) callWithTimeout(ctx context.Context, address, path string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.call(ctx, address, path, request, response)
}

// fetch makes a call that is worth waiting for. It ends when the other host sends nothing for pullTimeout, and lateGrace
// longer before its first byte.
func (c *client) fetch(ctx context.Context, address, path string, request, response any) error {
	ctx, cancel := patience.New(ctx, patience.Limits{First: pullTimeout + lateGrace, Silence: pullTimeout, Most: maxFetchTime})
	defer cancel()
	return c.call(ctx, address, path, request, response)
}

func (c *client) call(ctx context.Context, address, path string, request, response any) error {
	body, err := json.Marshal(request)
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
	if err := httpconn.CheckHead(resp); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return &statusError{address: address, path: path, status: resp.Status}
	}
	return json.NewDecoder(io.LimitReader(patience.Reader(ctx, resp.Body), maxResponseBytes)).Decode(response)
}

// Handler serves the calls from other hosts.
func (f *Fleet) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathPull, f.servePull)
	mux.HandleFunc("POST "+pathLend, f.serveLend)
	mux.HandleFunc("POST "+pathRecall, f.serveRecall)
	mux.HandleFunc("POST "+pathTransfer, f.serveTransfer)
	mux.HandleFunc("POST "+pathHistory, f.serveHistory)
	mux.HandleFunc("POST "+pathWitness, f.serveWitness)
	mux.HandleFunc("POST "+pathRollout, f.serveRollout)
	mux.HandleFunc("POST "+pathExits, f.serveExits)
	mux.HandleFunc("POST "+pathCleared, f.serveCleared)
	mux.HandleFunc("POST "+pathSurvived, f.serveSurvived)
	mux.HandleFunc("POST "+pathQuarantine, f.serveQuarantine)
	if f.opts.StreamVersions != nil {
		mux.HandleFunc("POST "+pathStreams, f.serveStreams)
		mux.HandleFunc("POST "+pathStream, f.serveStream)
	}
	if f.opts.Tunnels != nil {
		mux.Handle("POST "+tunnel.Path, f.opts.Tunnels)
	}
	if f.opts.Permits != nil {
		mux.Handle("POST "+permit.Path, f.opts.Permits)
	}
	return mux
}

func (f *Fleet) servePull(w http.ResponseWriter, r *http.Request) {
	var request pullRequest
	if !readJSON(w, r, &request) {
		return
	}
	response := pullResponse{Topics: map[string]topicUpdate{}}
	if request.Host != "" {
		now := time.Now()
		f.exchange.collect(request.Host, request.Offers, now)
		response.Summaries = f.exchange.summaries(now)
	}
	if request.EndsOnly && f.opts.Quarantine != nil {
		response.Quarantine = f.opts.Quarantine.Unpersisted()
	}
	for topic, c := range f.opts.Replicas {
		from, wanted := request.from(topic, c.End().Era)
		if !wanted {
			continue
		}
		if request.WaitMs > 0 {
			began := time.Now()
			c.WaitForChange(r.Context(), from, min(time.Duration(request.WaitMs)*time.Millisecond, followHold))
			response.HeldMs += time.Since(began).Milliseconds()
		}
		age := c.Age() // read before the end, so that it is not that of a later response with more records
		end := c.End()
		if !c.Loaded() || end.Before(from) {
			continue
		}
		if request.EndsOnly {
			response.Topics[topic] = topicUpdate{End: end.Offset, Era: end.Era, AgeMs: age.Milliseconds(), Aged: true}
			continue
		}
		part, err := f.packs.update(topic, c, from)
		if err != nil {
			log.WithField("topic", topic).WithError(err).Error("cannot encode records for another host")
			continue
		}
		response.Topics[topic] = part
	}
	writeJSON(w, response)
}

func (f *Fleet) serveLend(w http.ResponseWriter, r *http.Request) {
	var request lendRequest
	if !readJSON(w, r, &request) {
		return
	}
	if request.Survey > 0 {
		writeJSON(w, f.answerSurvey(request))
		return
	}
	loan := f.opts.Lend(r.Context(), prepaid.LoanRequest{ID: request.ID, Organisation: request.Organisation, Tokens: request.Tokens, Cost: request.Cost, Priority: request.Priority, FreeOnly: request.FreeOnly, AllowPartial: request.AllowPartial})
	writeJSON(w, lendResponse{Tokens: loan.Tokens, Keeper: loan.Authoritative, Free: loan.Free, Shed: loan.Shed})
}

func (f *Fleet) serveRecall(w http.ResponseWriter, r *http.Request) {
	var request recallRequest
	if !readJSON(w, r, &request) {
		return
	}
	var response recallResponse
	for _, id := range request.Loans {
		response.Tokens += f.opts.Recall(id)
	}
	writeJSON(w, response)
}

func (f *Fleet) serveTransfer(w http.ResponseWriter, r *http.Request) {
	var request transferRequest
	if !readJSON(w, r, &request) {
		return
	}
	self := f.opts.Self.Incarnation
	// An earlier incarnation may have accepted and spent the same transfer.
	took := request.Incarnation == self && f.opts.Credit(prepaid.Transfer{ID: request.ID, Organisation: request.Organisation, Tokens: request.Tokens})
	log.WithFields(log.Fields{"gift": request.ID, "organisation": request.Organisation, "tokens": request.Tokens, "took": took}).Info("received token transfer from another host")
	writeJSON(w, transferResponse{Accepted: took, Incarnation: self})
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCallBytes)).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, response any) {
	data, err := json.Marshal(response)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// If this fails the caller is gone, and it retries.
	_, _ = w.Write(data)
}
