package forward

import (
	"time"

	"maststage.dev/router/prepaid"
	"maststage.dev/router/quarantine"
	"maststage.dev/router/streamversion"
)

// Observer is notified of attempts and outcomes; its methods must not block.
type Observer interface {
	// AttemptEnded reports one attempt at a target.
	AttemptEnded(a Attempt)
	// RequestEnded reports the outcome of a request.
	RequestEnded(o Outcome)
	// TargetExited reports an attempt that broke off because its target exited.
	TargetExited(e TargetExit)
	// StreamResumed reports that events of a resumed stream are forwarded.
	StreamResumed(r StreamResumption)
}

// Attempt describes one attempt of a request at a target.
type Attempt struct {
	RequestID    string
	Number       int
	Target       string
	Domain       string
	Version      string // software version of the target
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
	Organisation    string
	SharedParts     string        // of the prompt, as the caller names them; empty if there are none
	Events          int           // received before the exit
	Duration        time.Duration // of the attempt
	SinceFirstEvent time.Duration // 0 if no event had arrived
}

// StreamResumption describes a stream that a target resumes.
type StreamResumption struct {
	RequestID    string
	FirstAttempt string // id of the attempt that brought the first event; empty if the caller did not name it
	ByCaller     bool   // with a request of its own, else by this host within its response
	Service      string
	Target       string
	Version      string // software version of the target
	Began        string // version that brought the first event
	BeganKnown   bool   // Began is set
	// Source says where this host knows Began from; empty if it forwarded the first event itself.
	Source       streamversion.Source
	ResumedAfter string // the id of the event after which the stream resumes
	FirstEvent   string // the id of the first event that the target sent; empty if it had none
}

// Outcome describes how a request ended.
type Outcome struct {
	RequestID     string
	Digest        quarantine.Digest // zero if the body was not read
	QuarantinedAs quarantine.Digest // what the request was refused for: its own digest or that of a part; zero: for neither
	Route         string
	Organisation  string
	Service       string
	ConfigVersion int64
	ConfigAge     time.Duration // since the configuration was last confirmed to be the newest, set if Kind rests on it
	Kind          Kind
	Status        int
	Attempts      int
	Target        string // the last one
	Version       string // software version of Target
	Resumes       string // the attempt that brought the first event, as the caller names it
	ResumedAfter  string // the caller's last event
	// Origin is what was found of where the stream began that the caller takes up; nil if it takes none up.
	Origin         *streamversion.Finding
	Events         int
	End            End     // how the response to the caller ended
	Framing        Framing // of the target's response that was forwarded; empty if none was
	CallerClosed   bool    // the caller closed its connection, or its sending side only
	TokensReserved int64
	TokensUsed     int64
	Budget         prepaid.Holding // set if the request was refused for its budget
	FirstByte      time.Duration   // time until the response began
	Duration       time.Duration
	Err            error
}
