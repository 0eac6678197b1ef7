package forward

import (
	"time"

	"maststage.dev/router/prepaid"
	"maststage.dev/router/quarantine"
)

// Observer is notified of attempts and outcomes; its methods must not block.
type Observer interface {
	// AttemptEnded reports one attempt at a target.
	AttemptEnded(a Attempt)
	// RequestEnded reports the outcome of a request.
	RequestEnded(o Outcome)
	// TargetExited reports an attempt that broke off because its target exited.
	TargetExited(e TargetExit)
}

// Attempt describes one attempt of a request at a target.
type Attempt struct {
	RequestID    string
	Number       int
	Target       string
	Domain       string
	Via          string // the host that carried the connection, empty if it was direct
	Result       string
	Status       int
	ResumedAfter string // the id of the event after which the stream resumed
	Duration     time.Duration
	Err          error
}

// TargetExit describes an attempt that broke off because its target exited.
type TargetExit struct {
	RequestID       string
	Digest          quarantine.Digest
	Target          string
	Service         string
	Events          int           // received before the exit
	Duration        time.Duration // of the attempt
	SinceFirstEvent time.Duration // 0 if no event had arrived
}

// Outcome describes how a request ended.
type Outcome struct {
	RequestID      string
	Digest         quarantine.Digest // zero if the body was not read
	Route          string
	Organisation   string
	Service        string
	ConfigVersion  int64
	ConfigAge      time.Duration // since the configuration was last confirmed to be the newest, set if Kind rests on it
	Kind           Kind
	Status         int
	Attempts       int
	Target         string // the last one
	Events         int
	TokensReserved int64
	TokensUsed     int64
	Budget         prepaid.Holding // set if the request was refused for its budget
	FirstByte      time.Duration   // time until the response began
	Duration       time.Duration
	Err            error
}
