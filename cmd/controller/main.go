// Command controller decides which upstreams to start and to stop, and what model
// engines run. One process runs beside the gateway on each entry instance. Deciding
// needs a lease, which one of them at a time holds.
package main

import (
	"os"

	"github.com/goldcrestspool/goldcrestspool/internal/controller"
	"github.com/goldcrestspool/goldcrestspool/internal/daemon"
	"github.com/goldcrestspool/goldcrestspool/internal/settings"
)

func main() {
	os.Exit(daemon.Program[settings.Controller]{
		Name:        "controller",
		Description: "controller takes the leased decisions: which upstreams to start and to stop, and what model engines run.",
		Load:        settings.LoadController,
		Run:         run,
	}.Main())
}

func run(signals daemon.Signals, s *settings.Controller) error {
	process, err := controller.New(s)
	if err != nil {
		return err
	}
	return process.Run(signals, os.Stdout)
}
