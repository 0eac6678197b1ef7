package recordpack

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"maststage.dev/router/eventlog"
	"maststage.dev/standin/bigconfig"
)

// manyRecords returns enough records for a compressed pack.
func manyRecords() []eventlog.Record {
	var records []eventlog.Record
	for i := range 500 {
		records = append(records, eventlog.Record{Key: fmt.Sprintf("key %d", i), Value: []byte{0, 255, byte(i)}, Position: eventlog.Position{Offset: int64(i) << 33}})
	}
	return records
}

func TestPackRoundTrip(t *testing.T) {
	for name, records := range map[string][]eventlog.Record{
		"none":    nil,
		"deleted": {{Key: "a", Position: eventlog.Position{Offset: 7}}},
		"small":   {{Key: "a", Value: []byte("1"), Position: eventlog.Position{Offset: 7}}, {Key: "", Value: []byte("2"), Position: eventlog.Position{Offset: 0}}},
		"many":    manyRecords(),
		"large":   {{Key: "config", Value: bigconfig.Routes(1770, 1), Position: eventlog.Position{Offset: 3}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pack, err := Pack(records)
			is.NoErr(err)
			got, err := Unpack(pack, 0)
			is.NoErr(err)
			is.Equal(got, records)
		})
	}
}

func TestLargeConfigurationShrinks(t *testing.T) {
	is := is.New(t)
	value := bigconfig.Routes(1770, 1)
	pack, err := Pack([]eventlog.Record{{Key: "config", Value: value}})
	is.NoErr(err)
	is.True(len(pack) < len(value)/4)
}

func TestMalformedPacksAreRejected(t *testing.T) {
	whole, err := Pack([]eventlog.Record{{Key: "key", Value: []byte("value"), Position: eventlog.Position{Offset: 300}}})
	is.New(t).NoErr(err)
	bad := map[string][]byte{
		"empty":          nil,
		"unknown format": {9},
		"huge field":     {formatPlain, 0xff, 0xff, 0xff, 0xff, 0x7f},
		"not deflated":   {formatDeflated, 1, 2, 3},
	}
	for end := 2; end < len(whole); end++ {
		bad[fmt.Sprintf("truncated at %d", end)] = whole[:end]
	}
	for name, pack := range bad {
		t.Run(name, func(t *testing.T) {
			_, err := Unpack(pack, 0)
			is.New(t).True(err != nil)
		})
	}
}
