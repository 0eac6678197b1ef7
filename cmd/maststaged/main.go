// Maststaged is the daemon, one on each host.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	log "github.com/sirupsen/logrus"

	"maststage.dev/daemon/node"
	"maststage.dev/daemon/settings"
	"maststage.dev/lib/guard"
)

// Exit statuses.
const (
	exitFailed   = 1
	exitSettings = 2
)

// timestamps of log lines have milliseconds: lines of several hosts are read side by side.
const timestamps = "2006-01-02T15:04:05.000Z07:00"

func main() {
	defer guard.Panic("main")
	path := flag.String("config", "/etc/maststage/maststaged.ini", "settings file")
	check := flag.Bool("check", false, "check the settings and exit")
	flag.Parse()
	cfg, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "maststaged:", err)
		os.Exit(exitSettings)
	}
	if *check {
		fmt.Println(*path + ": ok")
		return
	}
	setLog(cfg.Log, cfg.Host.Name)
	if err := serve(node.New(cfg)); err != nil {
		log.WithError(err).Error("ended")
		os.Exit(exitFailed)
	}
}

func setLog(cfg settings.Log, host string) {
	level, _ := log.ParseLevel(cfg.Level) // checked with the settings
	log.SetLevel(level)
	log.SetFormatter(&log.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: timestamps})
	if cfg.Format == settings.FormatJSON {
		log.SetFormatter(&log.JSONFormatter{TimestampFormat: timestamps})
	}
	log.AddHook(hostHook(host))
}

// hostHook adds the host's name to each line.
type hostHook string

// Levels are all.
func (hostHook) Levels() []log.Level { return log.AllLevels }

// Fire adds the field.
func (h hostHook) Fire(e *log.Entry) error {
	e.Data["host"] = string(h)
	return nil
}

// serve runs the node. The first SIGTERM or SIGINT is a planned stop, the
// second ends the process at once.
func serve(n *node.Node) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	guard.Go("signals", func() {
		<-signals
		n.Stop()
		<-signals
		cancel()
	})
	return n.Run(ctx)
}
