package main

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"time"

	"maststage.dev/standin/target"
)

// kind is a kind of request of one of the users.
type kind struct {
	org         string
	class       string
	perSec      float64 // requests a second
	input       int     // bytes
	tokens      uint32  // of the response; 0: a call of a plain service
	once        bool    // must not run twice
	timeout     time.Duration
	idleTimeout time.Duration
}

// mixes holds the two users' mixes of requests, with rates for a fleet of six hosts.
var mixes = map[string][]kind{
	"petfood": {
		{org: "pet-food", class: "diet-plan", perSec: 2, input: 2000, tokens: 200, timeout: 20 * time.Second, idleTimeout: 3 * time.Second},
		{org: "pet-food", class: "owner-chat", perSec: 8, input: 300, tokens: 60, timeout: 15 * time.Second, idleTimeout: 2 * time.Second},
		{org: "pet-food", class: "delivery-note", perSec: 10, input: 200, tokens: 12, timeout: 15 * time.Second, idleTimeout: 2 * time.Second},
		{org: "pet-food", class: "renewal", perSec: 10, input: 150, once: true, timeout: 15 * time.Second, idleTimeout: time.Second},
		{org: "pet-food", class: "reprice", perSec: 5, input: 150, once: true, timeout: 15 * time.Second, idleTimeout: time.Second},
	},
	"examora": {
		{org: "examora", class: "long-essay", perSec: 2, input: 6000, tokens: 250, timeout: 20 * time.Second, idleTimeout: 3 * time.Second},
		{org: "examora", class: "short-answer", perSec: 8, input: 300, tokens: 20, timeout: 15 * time.Second, idleTimeout: 2 * time.Second},
		{org: "examora", class: "integrity-flag", perSec: 5, input: 500, tokens: 8, timeout: 15 * time.Second, idleTimeout: 2 * time.Second},
		{org: "examora", class: "answer-save", perSec: 20, input: 800, once: true, timeout: 10 * time.Second, idleTimeout: time.Second},
		{org: "examora", class: "keep-alive", perSec: 20, input: 20, timeout: 5 * time.Second, idleTimeout: time.Second},
		{org: "examora", class: "exam-session", perSec: 0.5, input: 50, tokens: 40, timeout: 40 * time.Second, idleTimeout: 4 * time.Second},
	},
}

// want is the response that the simulated targets give to a request.
func (k kind) want(fullID string, input []byte) []byte {
	if k.tokens == 0 {
		return target.Output(fullID, input)
	}
	var b bytes.Buffer
	for i := range k.tokens {
		b.Write(target.Token(fullID, i))
	}
	return b.Bytes()
}

// need is the maximum number of tokens that a request takes from its budget.
func (k kind) need() uint64 {
	const overrun = 32
	if k.tokens == 0 {
		return 1
	}
	return uint64(k.input+3)/4 + uint64(k.tokens) + overrun
}

// text generates an input. Inputs of a kind share a prefix, as prompts do.
func (k kind) text(r *rand.Rand) []byte {
	head := strings.Repeat("scheme "+k.class+" ", k.input/16)
	tail := make([]byte, k.input)
	for i := range tail {
		tail[i] = byte('a' + r.IntN(26))
	}
	return append([]byte(head), tail...)[:k.input]
}
