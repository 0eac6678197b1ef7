package account

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// heldLine is the message of the lines that Read uses.
const heldLine = `msg="budget held"`

// maxLine is the longest line of a log, in bytes.
const maxLine = 1 << 20

// Read adds the entries of a log of one or more hosts. It skips lines with other messages. A
// malformed line about a budget is an error, which gives name and line number.
func (b *Book) Read(name string, r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	var clock clock
	for number := 1; lines.Scan(); number++ {
		if !strings.Contains(lines.Text(), heldLine) {
			continue
		}
		e, err := parse(fields(lines.Text()))
		if err != nil {
			return fmt.Errorf("%s:%d: %w", name, number, err)
		}
		e.At = clock.unwrap(e.At)
		b.Add(e)
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// clock makes the times of a log increase across midnight.
type clock struct{ last, days time.Duration }

const day = 24 * time.Hour

func (c *clock) unwrap(at time.Duration) time.Duration {
	if c.last-at > day/2 {
		c.days += day
	}
	c.last = at
	return c.days + at
}

// fields splits a line into keys and values; it skips text that is not a pair.
func fields(line string) map[string]string {
	pairs := map[string]string{}
	for line != "" {
		key, rest, found := strings.Cut(line, "=")
		if !found {
			break
		}
		if space := strings.LastIndexByte(key, ' '); space >= 0 {
			key = key[space+1:]
		}
		value, after := value(rest)
		pairs[key] = value
		line = after
	}
	return pairs
}

// value splits the first value off a text.
func value(text string) (value, rest string) {
	if quoted, err := strconv.QuotedPrefix(text); err == nil {
		value, _ = strconv.Unquote(quoted)
		return value, text[len(quoted):]
	}
	value, rest, _ = strings.Cut(text, " ")
	return value, rest
}

// clockLayout is the router's format of the time of a line.
const clockLayout = "15:04:05.000"

func parse(pairs map[string]string) (Entry, error) {
	e := Entry{
		Host: pairs["host"], Incarnation: pairs["incarnation"], Organisation: pairs["organisation"],
		Keeper: pairs["keeper"] == "true",
	}
	if e.Host == "" || e.Incarnation == "" || e.Organisation == "" {
		return e, fmt.Errorf("host, incarnation or organisation is missing")
	}
	at, err := time.Parse(clockLayout, pairs["time"])
	if err != nil {
		return e, fmt.Errorf("time: %w", err)
	}
	e.At = at.Sub(at.Truncate(day))
	for key, into := range e.numbers() {
		n, err := strconv.ParseInt(pairs[key], 10, 64)
		if err != nil {
			return e, fmt.Errorf("%s: %w", key, err)
		}
		*into = n
	}
	for key, into := range e.laterNumbers() {
		text, found := pairs[key]
		if !found {
			continue
		}
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return e, fmt.Errorf("%s: %w", key, err)
		}
		*into = n
	}
	return e, nil
}

// laterNumbers maps numeric keys that lines of earlier builds lack.
func (e *Entry) laterNumbers() map[string]*int64 {
	return map[string]*int64{"era": &e.Era, "written_off": &e.WrittenOff}
}

// numbers maps the numeric keys of a line to the fields of e.
func (e *Entry) numbers() map[string]*int64 {
	return map[string]*int64{
		"free": &e.Free, "reserved": &e.Reserved, "granted": &e.Granted, "limit": &e.Limit, "offset": &e.Offset,
		"taken": &e.Taken, "returned": &e.Returned, "borrowed": &e.Borrowed, "lent": &e.Lent,
		"recalled": &e.Recalled, "given": &e.Given, "received": &e.Received, "used": &e.Used,
	}
}
