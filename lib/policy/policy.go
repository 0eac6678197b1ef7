// Package policy compiles and runs policies: short programs that decide how a request
// is handled. docs/design/policies.md explains why they are written in expr. Programs
// have no loops, so their cost is bounded by their size.
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

// Request is the input of a program.
type Request struct {
	Class        string `expr:"class"`
	Organisation string `expr:"organisation"`
	InputBytes   int    `expr:"input_bytes"`
	MaxTokens    int    `expr:"max_tokens"` // requested by the caller, 0: not set
	Attempt      int    `expr:"attempt"`
	LogUp        bool   `expr:"log_up"` // whether the platform's log is available
}

// env is the environment of a program: the Request and the functions.
type env struct {
	Request
	To     func(string) Decision `expr:"to"`
	Refuse func(string) Decision `expr:"refuse"`
}

// Decision is the result of a program. Its methods are part of the policy language;
// each returns a modified copy.
type Decision struct {
	Pool     string
	Reason   string // why the request is refused; empty: it is accepted
	Rank     int    // larger goes first
	Single   bool   // the request may run at most once
	Within   time.Duration
	Tokens   int  // maximum tokens of the response
	NeedsLog bool // refuse while the log is unavailable
	Spare    int  // tokens reserved above the maximum, negative: as in the settings
}

// Defaults of values that a program does not set.
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

// Priority sets the priority; larger goes first.
func (d Decision) Priority(n int) Decision { d.Rank = n; return d }

// Once marks a request that must not be retried.
func (d Decision) Once() Decision { d.Single = true; return d }

// Deadline sets the time limit of the whole response, in milliseconds.
func (d Decision) Deadline(ms int) Decision {
	d.Within = time.Duration(ms) * time.Millisecond
	return d
}

// MaxTokens sets the maximum number of tokens of a response.
func (d Decision) MaxTokens(n int) Decision { d.Tokens = n; return d }

// Margin sets how many tokens are reserved above the maximum, for targets that exceed
// it before they can be stopped. A larger margin protects the budget better and refuses
// more requests when the budget is nearly exhausted.
func (d Decision) Margin(n int) Decision { d.Spare = max(n, 0); return d }

// LogRequired refuses the request while the platform's log is unavailable.
func (d Decision) LogRequired() Decision { d.NeedsLog = true; return d }

// Program is a compiled policy, safe for concurrent use.
type Program struct {
	prog *vm.Program
}

// Compile compiles and checks source. known must be true for each pool that it names. An
// error gives line and column.
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
		_ = check.err.Bind(file.NewSource(source)) // sets line and column
		return nil, describe(check.err)
	}
	if got := prog.Node().Type(); got != reflect.TypeFor[Decision]() {
		return nil, fmt.Errorf("line 1: gives %v, not a decision such as to(\"pool\")", got)
	}
	return &Program{prog: prog}, nil
}

// Decide runs the program on a request.
func (p *Program) Decide(r Request) (Decision, error) {
	out, err := expr.Run(p.prog, env{Request: r, To: to, Refuse: refuse})
	if err != nil {
		return Decision{}, describe(err)
	}
	d, ok := out.(Decision)
	if !ok {
		return Decision{}, fmt.Errorf("gave %T, not a decision", out)
	}
	return d.clamp(), nil
}

// clamp limits values to their ranges.
func (d Decision) clamp() Decision {
	if d.Within <= 0 || d.Within > maxDeadline {
		d.Within = maxDeadline
	}
	d.Tokens = max(d.Tokens, 0)
	return d
}

// describe prefixes a compiler's error with line and column.
func describe(err error) error {
	var fe *file.Error
	if !errors.As(err, &fe) {
		return err
	}
	return fmt.Errorf("line %d, column %d: %s", fe.Line, fe.Column+1, fe.Message)
}

// poolCheck reports the first call of to() whose pool is not declared.
type poolCheck struct {
	known func(string) bool
	err   *file.Error
}

// Visit checks one syntax node.
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
