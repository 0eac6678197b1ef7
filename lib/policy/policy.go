// Package policy compiles and runs policies: short programs that say how a
// request is to be treated. docs/design/policies.md says why they are written
// in expr. A program has no loops, so its cost is bounded by its size.
package policy

import (
	"errors"
	"fmt"
	"reflect"
	"time"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/file"
	"github.com/expr-lang/expr/vm"
)

const (
	maxNodes    = 400  // size of a program, in syntax nodes
	maxSource   = 8192 // bytes
	maxDeadline = 24 * time.Hour
)

// Request is what a program sees.
type Request struct {
	Class        string `expr:"class"`
	Organisation string `expr:"organisation"`
	InputBytes   int    `expr:"input_bytes"`
	MaxTokens    int    `expr:"max_tokens"` // asked by the caller, 0: not said
	Attempt      int    `expr:"attempt"`
	LogUp        bool   `expr:"log_up"` // whether the platform's log answers
}

// env adds the functions of the language to a Request.
type env struct {
	Request
	To     func(string) Decision `expr:"to"`
	Refuse func(string) Decision `expr:"refuse"`
}

// Decision is what a program makes of a request. Its methods are the words of
// the language, each gives a changed copy.
type Decision struct {
	Pool     string
	Reason   string // why it is refused; empty: it is not
	Rank     int    // larger goes first
	Single   bool   // may run at most once
	Within   time.Duration
	Tokens   int  // most tokens of the answer
	NeedsLog bool // refused while the log is down
	Spare    int  // tokens reserved beyond the maximum, below 0: as in the settings
}

// Default values of a decision that does not say.
const (
	DefaultDeadline = 30 * time.Second
	DefaultTokens   = 1024
)

func to(pool string) Decision {
	return Decision{Pool: pool, Within: DefaultDeadline, Tokens: DefaultTokens, Spare: -1}
}

func refuse(reason string) Decision {
	if reason == "" {
		reason = "refused by policy"
	}
	return Decision{Reason: reason}
}

// Priority sets the priority, larger goes first.
func (d Decision) Priority(n int) Decision { d.Rank = n; return d }

// Once marks a request that may not be repeated.
func (d Decision) Once() Decision { d.Single = true; return d }

// Deadline sets the time for the whole answer, in milliseconds.
func (d Decision) Deadline(ms int) Decision {
	d.Within = time.Duration(ms) * time.Millisecond
	return d
}

// MaxTokens sets the most tokens of an answer.
func (d Decision) MaxTokens(n int) Decision { d.Tokens = n; return d }

// Margin sets how many tokens are reserved beyond the maximum, for targets that
// overrun it before they can be stopped. More of it guards the budget better and
// refuses more near its end.
func (d Decision) Margin(n int) Decision { d.Spare = max(n, 0); return d }

// LogRequired refuses the request while the platform's log is down.
func (d Decision) LogRequired() Decision { d.NeedsLog = true; return d }

// Program is a compiled policy, safe for concurrent use.
type Program struct {
	prog *vm.Program
}

// Compile checks source. The pools it names must satisfy known. An error names
// line and column.
func Compile(source string, known func(pool string) bool) (*Program, error) {
	if len(source) > maxSource {
		return nil, fmt.Errorf("program of %d bytes, at most %d", len(source), maxSource)
	}
	check := &poolCheck{known: known}
	prog, err := expr.Compile(source,
		expr.Env(env{}),
		expr.DisableAllBuiltins(),
		expr.MaxNodes(maxNodes),
		expr.Patch(check),
	)
	if err != nil {
		return nil, describe(err)
	}
	if check.err != nil {
		_ = check.err.Bind(file.NewSource(source)) // finds line and column
		return nil, describe(check.err)
	}
	if got := prog.Node().Type(); got != reflect.TypeFor[Decision]() {
		return nil, fmt.Errorf("line 1: gives %v, not a decision such as to(\"pool\")", got)
	}
	return &Program{prog: prog}, nil
}

// Decide runs the program.
func (p *Program) Decide(r Request) (Decision, error) {
	out, err := expr.Run(p.prog, env{Request: r, To: to, Refuse: refuse})
	if err != nil {
		return Decision{}, describe(err)
	}
	d, ok := out.(Decision)
	if !ok {
		return Decision{}, fmt.Errorf("gave %T, not a decision", out)
	}
	return d.bound(), nil
}

// bound brings values out of range into it.
func (d Decision) bound() Decision {
	if d.Within <= 0 || d.Within > maxDeadline {
		d.Within = maxDeadline
	}
	d.Tokens = max(d.Tokens, 0)
	return d
}

// describe puts line and column in front of a compiler's error.
func describe(err error) error {
	var fe *file.Error
	if !errors.As(err, &fe) {
		return err
	}
	return fmt.Errorf("line %d, column %d: %s", fe.Line, fe.Column+1, fe.Message)
}

// poolCheck finds calls of to() whose pool is not declared.
type poolCheck struct {
	known func(string) bool
	err   *file.Error
}

// Visit looks at one syntax node.
func (c *poolCheck) Visit(node *ast.Node) {
	call, ok := (*node).(*ast.CallNode)
	if !ok || c.err != nil {
		return
	}
	name, ok := call.Callee.(*ast.IdentifierNode)
	if !ok || name.Value != "to" || len(call.Arguments) != 1 {
		return
	}
	pool, ok := call.Arguments[0].(*ast.StringNode)
	if !ok {
		c.err = &file.Error{Location: call.Location(), Message: "to() takes a pool's name in quotes"}
		return
	}
	if !c.known(pool.Value) {
		c.err = &file.Error{Location: call.Location(), Message: fmt.Sprintf("no pool %q is declared", pool.Value)}
	}
}
