package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const example = "../../config/maststaged.ini"

// The example file is valid, and the defaults in its comments are the real ones.
func TestExampleFile(t *testing.T) {
	is := is.New(t)
	want, err := Load(example)
	is.NoErr(err)
	data, err := os.ReadFile(example)
	is.NoErr(err)
	shown := regexp.MustCompile(`(?m)^; ([a-z0-9_]+) =`).ReplaceAllString(string(data), "$1 =")
	got, err := Load(write(t, shown))
	is.NoErr(err)
	is.True(reflect.DeepEqual(got, want))
}

func write(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "x.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Errors for invalid settings name file, section, key and reason.
func TestBadValues(t *testing.T) {
	good, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{"listen = 127.0.0.1:7000", "listen = here", `section [host]: key "listen": "here" is not IP:port`},
		{"name = host-1", "name =", `section [host]: key "name": is empty`},
		{"name = host-1", "", `section [host]: key "name" is missing`},
		{"; timeout = 1s", "timeout = soon", `section [platform]: key "timeout": "soon" is not a duration such as 250ms or 3s`},
		{"secret = change-me-change-me", "secret = short", `section [peers]: key "secret": shorter than 16 characters`},
		{"; map =", "map = a>b", `section [peers]: key "map": "a>b" is not IP:port>IP:port`},
		{"; max_slice = 1000000", "max_slice = -1", `section [budgets]: key "max_slice": "-1" is not a whole number from 0`},
		{"; borrow = true", "borrow = maybe", `section [budgets]: key "borrow": "maybe" is neither true nor false`},
		{"; level = info", "level = loud", `section [log]: key "level"`},
		{"; format = text", "format = xml", `section [log]: key "format": "xml" is neither "text" nor "json"`},
		{"; memory_mb = 0", "memory_mb = 8", `section [machine]: key "memory_mb": 8 is neither 0 nor 64 or more`},
		{"; descriptors = 0", "descriptors = 64", `section [machine]: key "descriptors": 64 is neither 0 nor 256 or more`},
		{"; body_time = 60s", "body_time = 0s", `section [machine]: key "body_time": must be above 0`},
		{"[log]", "[logs]", `section [logs]: not known`},
		{"; queue = 1000", "queues = 1", `section [targets]: key "queues" is not known`},
	} {
		is := is.New(t)
		path := write(t, strings.Replace(string(good), c.old, c.new, 1))
		_, err := Load(path)
		is.True(err != nil) // accepted
		is.True(strings.HasPrefix(err.Error(), path+": "))
		is.True(strings.Contains(err.Error(), c.want)) // says something else
	}
}
