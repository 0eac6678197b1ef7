// Maststaged is the Maststage daemon. Each host runs one.
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

// timestampFormat includes milliseconds, because log lines of several hosts are read together.
const timestampFormat = "2006-01-02T15:04:05.000Z07:00"

func main() {
	defer guard.Panic("main")
	path := flag.String("config", "/etc/maststage/maststaged.ini", "settings file")
	check := flag.Bool("check", false, "validate the settings and exit")
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
	setupLog(cfg.Log, cfg.Host.Name)
	if err := serve(node.New(cfg)); err != nil {
		log.WithError(err).Error("daemon failed")
		os.Exit(exitFailed)
	}
}

func setupLog(cfg settings.Log, host string) {
	level, _ := log.ParseLevel(cfg.Level) // validated with the settings
	log.SetLevel(level)
	log.SetFormatter(&log.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: timestampFormat})
	if cfg.Format == settings.FormatJSON {
		log.SetFormatter(&log.JSONFormatter{TimestampFormat: timestampFormat})
	}
	log.AddHook(hostHook(host))
}

// hostHook adds the host's name to each log line.
type hostHook string

// Levels implements log.Hook.
func (hostHook) Levels() []log.Level { return log.AllLevels }

// Fire implements log.Hook.
func (h hostHook) Fire(e *log.Entry) error {
	e.Data["host"] = string(h)
	return nil
}

// serve runs the node. The first SIGTERM or SIGINT starts a graceful shutdown,
// the second exits at once.
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
