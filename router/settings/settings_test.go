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

const validSettings = `[host]
name = h1
domain = z1
listen = 10.0.0.1:80
ready_listen = 10.0.0.1:81
peer_listen = 10.0.0.1:82
seeds = 10.0.0.1:82, 10.0.0.2:82
regions = z1=north,z2=south
[log]
address = 10.0.0.9:90
partitions =
`

func load(t *testing.T, text string) (*Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(path)
}

func TestLoadValidSettings(t *testing.T) {
	is := is.New(t)
	s, err := load(t, validSettings)
	is.NoErr(err)
	is.Equal(s.Host.Seeds, []string{"10.0.0.1:82", "10.0.0.2:82"})
	is.Equal(s.Host.RegionOf(), map[string]string{"z1": "north", "z2": "south"})
	is.Equal(s.Log.Partitions, 12) // a key without a value counts as not set
	is.Equal(s.Bounds.RetryRatio, 0.2)
	is.Equal(s.Host.MetricsListen, "")
}

// The error on an invalid value names section, key and reason.
func TestInvalidSettingsAreRejected(t *testing.T) {
	cases := []struct{ name, from, to, want string }{
		{"missing key", "name = h1\n", "", `section [host]: key "name" is missing`},
		{"unknown key", "domain = z1", "domain = z1\nzoo = 1", `section [host]: key "zoo" is not known`},
		{"unknown section", "[log]", "[lag]\nx=1\n[log]", "section [lag]: not known"},
		{"bad address", "10.0.0.1:81", "localhost:81", `section [host]: key "ready_listen": "localhost:81" is not an address`},
		{"bad number", "partitions =", "partitions = many", `section [log]: key "partitions": "many" is not a whole number`},
		{"failure domain without a region", "z2=south", "z2", `section [host]: key "regions": "z2" is not a failure domain and its region`},
		{"too few partitions", "partitions =", "partitions = 0", `section [log]: key "partitions"`},
		{"negative", "partitions =", "[bounds]\nretry_ratio = -1", `section [bounds]: key "retry_ratio": "-1" is not a number from 0`},
		{"zero retry window", "partitions =", "[bounds]\nretry_window_s = 0", `section [bounds]: key "retry_window_s"`},
		{"zero time of a change of the configuration", "partitions =", "[bounds]\nconfig_ms = 0", `section [bounds]: key "config_ms": "0" is not above 0`},
		{"zero cold overrun", "partitions =", "[bounds]\ncold_overrun = 0", `section [bounds]: key "cold_overrun": "0" is not above 0`},
		{"zero unread bytes of targets", "partitions =", "[targets]\nunread_bytes = 0", `section [targets]: key "unread_bytes": "0" is not above 0`},
		{"zero unread bytes of a target", "partitions =", "[targets]\nunread_bytes_per_target = 0", `section [targets]: key "unread_bytes_per_target": "0" is not above 0`},
		{"more unread bytes of a target than of all", "partitions =", "[targets]\nunread_bytes = 1000000", `section [targets]: key "unread_bytes_per_target": "2097152" is more than unread_bytes`},
		{"zero unread bytes", "partitions =", "[callers]\nunread_bytes = 0", `section [callers]: key "unread_bytes": "0" is not above 0`},
		{"link speed in other units", "partitions =", "[capacity]\nlink_mbps = 1e9", `section [capacity]: key "link_mbps": "1e+09" is not a speed in Mbit/s`},
		{"negative link speed", "partitions =", "[capacity]\nlink_mbps = -1", `section [capacity]: key "link_mbps": "-1" is not a number from 0`},
		{"zero time of a body", "partitions =", "[callers]\nbody_s = 0", `section [callers]: key "body_s": "0" is not above 0`},
		{"hardly any memory", "partitions =", "[capacity]\nmemory_mb = 8", `section [capacity]: key "memory_mb": "8" is neither 0 nor 64 or more`},
		{"hardly any descriptors", "partitions =", "[capacity]\ndescriptors = 64", `section [capacity]: key "descriptors": "64" is neither 0 nor 256 or more`},
		{"limit overrun below 1", "partitions =", "[bounds]\nlimit_overrun = 0.5", `section [bounds]: key "limit_overrun": "0.5" is less than 1`},
		{"zero limit window", "partitions =", "[bounds]\nlimit_window_s = 0", `section [bounds]: key "limit_window_s": "0" is not above 0`},
		{"negative time", "partitions =", "[bounds]\nevacuate_ms = -1", `section [bounds]: key "evacuate_ms": "-1" is not a number from 0`},
		{"share above 1", "partitions =", "[budgets]\nkeeper_part = 1.5", `section [budgets]: key "keeper_part": "1.5" is more than 1`},
		{"bad level", "partitions =", "[output]\nlevel = loud", `section [output]: key "level": "loud" is not a log level`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := load(t, strings.Replace(validSettings, c.from, c.to, 1))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}

// The sample file lists every key, commented out, with its default.
func TestSampleFileShowsEveryDefault(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../../config/router.ini")
	is.NoErr(err)
	want, err := load(t, string(data))
	is.NoErr(err)
	shown := regexp.MustCompile(`(?m)^; ([a-z0-9_]+) =`).ReplaceAllString(string(data), "$1 =")
	got, err := load(t, shown)
	is.NoErr(err)
	is.Equal(got, want)
	keys := regexp.MustCompile(`(?m)^[a-z0-9_]+ =`).FindAllString(shown, -1)
	fields := 0
	all := reflect.TypeFor[Settings]()
	for i := range all.NumField() {
		fields += all.Field(i).Type.NumField()
	}
	is.Equal(len(keys), fields)
}

func TestMissingFile(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "none.ini"))
	is.New(t).True(err != nil)
}
