package forward

import (
	"time"

	"maststage.dev/router/prepaid"
	"maststage.dev/router/quarantine"
)

// Observer is told of decisions and ends; it must not block.
type Observer interface {
	// AttemptEnded tells of one try at a target.
	AttemptEnded(t Attempt)
	// RequestEnded tells of a request's end.
	RequestEnded(e Outcome)
	// TargetExited tells of a try that broke off because its target ended.
	TargetExited(b TargetExit)
}

// Attempt is one try of a request at a target.
type Attempt struct {
	RequestID    string
	Number       int
	Target       string
	Domain       string
	Result       string
	Status       int
	ResumedAfter string // the event behind which the stream went on
	Duration     time.Duration
	Err          error
}

// TargetExit is a try that broke off because its target ended.
type TargetExit struct {
	RequestID       string
	Digest          quarantine.Digest
	Target          string
	Service         string
	Events          int           // that had come
	Duration        time.Duration // of the try
	SinceFirstEvent time.Duration // since its first event, 0: none had come
}

// Outcome is how a request ended.
type Outcome struct {
	RequestID      string
	Digest         quarantine.Digest // zero: its body was not read
	Route          string
	Organisation   string
	Service        string
	ConfigVersion  int64
	Kind           Kind
	Status         int
	Attempts       int
	Target         string // the last one
	Events         int
	TokensReserved int64
	TokensUsed     int64
	Budget         prepaid.Holding // as seen when the request was refused for it
	FirstByte      time.Duration   // until the answer began
	Duration       time.Duration
	Err            error
}
