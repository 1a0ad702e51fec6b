// Command entry is the process that callers connect to on a platform with its own
// store. One process runs on each entry instance.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/goldcrestspool/goldcrestspool/internal/daemon"
	"github.com/goldcrestspool/goldcrestspool/internal/entry"
	"github.com/goldcrestspool/goldcrestspool/internal/settings"
	"github.com/goldcrestspool/goldcrestspool/platform"
)

// reload receives SIGHUP. It is set up first of all, because the signal ends a process
// that does not handle it.
var reload = make(chan os.Signal, 1)

func main() {
	signal.Notify(reload, syscall.SIGHUP)
	os.Exit(daemon.Program[settings.Entry]{
		Name:            "entry",
		Description:     "entry takes callers' requests to upstreams by the operators' configuration, and runs the controllers that one entry process at a time runs under a lease.",
		DefaultSettings: platform.SettingsPath(),
		Load:            settings.LoadEntry,
		Run:             run,
	}.Main())
}

func run(signals daemon.Signals, s *settings.Entry) error {
	process, err := entry.New(s, platform.Ports(s), os.Stdout)
	if err != nil {
		return err
	}
	return process.Run(signals, reload)
}
