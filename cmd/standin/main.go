// Command standin serves stand-ins for the platform and the upstreams.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/goldcrestspool/goldcrestspool/internal/standin/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// A second signal ends the process at once.
	context.AfterFunc(ctx, stop)
	os.Exit(command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
