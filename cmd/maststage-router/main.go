// Maststage-router is the daemon that carries plain HTTP requests of callers to
// targets, one on each host.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/guard"
	"maststage.dev/platform"
	"maststage.dev/router/logging"
	"maststage.dev/router/node"
	"maststage.dev/router/settings"
)

// Exit statuses.
const (
	exitFailed   = 1
	exitSettings = 2
)

// gcPercent is how much the heap may grow before it is collected, in percent of what is in
// use. A router uses a few MB and a hundredth of a core, so it collects often: 10.9 MB a host
// on average became 8.7, 36 MB at the peak 21, for 4 in 100 more processor time (87 hosts,
// 420 requests a second).
const gcPercent = 20

func main() {
	defer guard.Panic("main")
	debug.SetGCPercent(gcPercent)
	path := flag.String("config", "", "settings file; by default the one that the platform names")
	check := flag.Bool("check", false, "check the settings and exit")
	flag.Parse()
	cfg, err := load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "maststage-router:", err)
		os.Exit(exitSettings)
	}
	if *check {
		fmt.Println(*path + ": ok")
		return
	}
	writer := logging.NewWriter(os.Stdout, cfg.Output.Buffer)
	if err := logging.Setup(writer, cfg.Output.Level, cfg.Host.Name); err != nil {
		fmt.Fprintln(os.Stderr, "maststage-router:", err)
		os.Exit(exitSettings)
	}
	err = serve(cfg, *path)
	if err != nil {
		log.WithError(err).Error("ended")
	}
	writer.Flush()
	if err != nil {
		os.Exit(exitFailed)
	}
}

// load reads the settings from path, or from where the platform puts them, which
// is then stored in path.
func load(path *string) (*settings.Settings, error) {
	if *path == "" {
		named, err := platform.SettingsPath()
		if err != nil {
			return nil, err
		}
		*path = named
	}
	return settings.Load(*path)
}

// serve runs the node. SIGHUP reloads the settings, as does a change of their
// file. The first SIGTERM or SIGINT is a planned stop, the second ends the process
// at once.
func serve(cfg *settings.Settings, path string) error {
	incarnation := strconv.FormatInt(time.Now().UnixNano(), 36)
	n := node.New(cfg, platform.Environment(cfg.Log.Address, cfg.Log.RecordBytes), incarnation)
	log.WithFields(log.Fields{"incarnation": incarnation, "domain": cfg.Host.Domain}).Info("start")
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	guard.Go("settings", func() { watchSettings(ctx, n, path, hangups) })
	guard.Go("signals", func() {
		<-signals
		n.Stop()
		<-signals
		cancel()
	})
	return n.Run(ctx)
}

// watchEvery is the pause between looks at the settings file.
const watchEvery = time.Second

// watchSettings reloads the settings on a signal and when their file has changed.
func watchSettings(ctx context.Context, n *node.Node, path string, hangups <-chan os.Signal) {
	tick := time.NewTicker(watchEvery)
	defer tick.Stop()
	last := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			n.Reload(path)
			last = modified(path)
		case <-tick.C:
			if now := modified(path); !now.Equal(last) {
				last = now
				n.Reload(path)
			}
		}
	}
}

// modified is when the file last changed, the zero time if it can't be told.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
