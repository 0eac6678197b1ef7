package main

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"time"

	"maststage.dev/standin/target"
)

// kind is a kind of work of one of the users.
type kind struct {
	org      string
	class    string
	perSec   float64
	input    int    // bytes
	tokens   uint32 // 0: a plain service answers
	once     bool   // may not be repeated
	patience time.Duration
	silence  time.Duration
}

// mixes are those of the two users, with rates for a fleet of six hosts.
var mixes = map[string][]kind{
	"petfood": {
		{org: "pet-food", class: "diet-plan", perSec: 2, input: 2000, tokens: 200, patience: 20 * time.Second, silence: 3 * time.Second},
		{org: "pet-food", class: "owner-chat", perSec: 8, input: 300, tokens: 60, patience: 15 * time.Second, silence: 2 * time.Second},
		{org: "pet-food", class: "delivery-note", perSec: 10, input: 200, tokens: 12, patience: 15 * time.Second, silence: 2 * time.Second},
		{org: "pet-food", class: "renewal", perSec: 10, input: 150, once: true, patience: 15 * time.Second, silence: time.Second},
		{org: "pet-food", class: "reprice", perSec: 5, input: 150, once: true, patience: 15 * time.Second, silence: time.Second},
	},
	"examora": {
		{org: "examora", class: "long-essay", perSec: 2, input: 6000, tokens: 250, patience: 20 * time.Second, silence: 3 * time.Second},
		{org: "examora", class: "short-answer", perSec: 8, input: 300, tokens: 20, patience: 15 * time.Second, silence: 2 * time.Second},
		{org: "examora", class: "integrity-flag", perSec: 5, input: 500, tokens: 8, patience: 15 * time.Second, silence: 2 * time.Second},
		{org: "examora", class: "answer-save", perSec: 20, input: 800, once: true, patience: 10 * time.Second, silence: time.Second},
		{org: "examora", class: "keep-alive", perSec: 20, input: 20, patience: 5 * time.Second, silence: time.Second},
		{org: "examora", class: "exam-session", perSec: 0.5, input: 50, tokens: 40, patience: 40 * time.Second, silence: 4 * time.Second},
	},
}

// want is the answer that the stand-ins give to a request.
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

// need is the most that a request takes of its budget.
func (k kind) need() uint64 {
	const overrun = 32
	if k.tokens == 0 {
		return 1
	}
	return uint64(k.input+3)/4 + uint64(k.tokens) + overrun
}

// text makes an input; some requests share their beginning, as prompts do.
func (k kind) text(r *rand.Rand) []byte {
	head := strings.Repeat("scheme "+k.class+" ", k.input/16)
	tail := make([]byte, k.input)
	for i := range tail {
		tail[i] = byte('a' + r.IntN(26))
	}
	return append([]byte(head), tail...)[:k.input]
}
