// Command spoolctl is the operators' client: it validates and publishes documents, and
// shows the state of the system.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/goldcrestspool/goldcrestspool/internal/spoolctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(spoolctl.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
