package observe

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	log "github.com/sirupsen/logrus"

	"maststage.dev/router/forward"
)

// Guards against refusals by an old configuration that look like those by the newest one, and against an age on lines
// that it says nothing about.
func TestRefusalsByTheConfigurationTellItsAge(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log.SetOutput(&out)
	t.Cleanup(func() { log.SetOutput(os.Stderr) })
	o := New(100)
	line := func(kind forward.Kind) string {
		out.Reset()
		o.RequestEnded(forward.Outcome{Kind: kind, ConfigAge: 30 * time.Second})
		is.True(strings.Contains(out.String(), "request ended"))
		return out.String()
	}
	for _, kind := range []forward.Kind{forward.NoRoute, forward.BadKey, forward.OverBudget, forward.Unconfirmed} {
		is.True(strings.Contains(line(kind), "config_age=30s"))
	}
	for _, kind := range []forward.Kind{forward.OK, forward.NoTarget, forward.TargetFailed} {
		is.True(!strings.Contains(line(kind), "config_age"))
	}
}
