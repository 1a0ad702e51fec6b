// Command loadgen sends an open-loop load to gateways and checks every answer.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/goldcrestspool/goldcrestspool/internal/loadgen/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// A second signal ends the process at once.
	context.AfterFunc(ctx, stop)
	os.Exit(command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
