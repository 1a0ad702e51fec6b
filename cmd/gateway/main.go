// Command gateway is the process that callers connect to. One process runs on each entry
// instance.
package main

import (
	"os"

	"github.com/goldcrestspool/goldcrestspool/internal/daemon"
	"github.com/goldcrestspool/goldcrestspool/internal/gateway"
	"github.com/goldcrestspool/goldcrestspool/internal/settings"
)

func main() {
	os.Exit(daemon.Program[settings.Gateway]{
		Name:        "gateway",
		Description: "gateway serves callers: it admits, routes and retries requests, streams answers, and hands over what is in progress when it leaves.",
		Load:        settings.LoadGateway,
		Run:         run,
	}.Main())
}

func run(signals daemon.Signals, s *settings.Gateway) error {
	process, err := gateway.New(s)
	if err != nil {
		return err
	}
	return process.Run(signals, os.Stdout)
}
