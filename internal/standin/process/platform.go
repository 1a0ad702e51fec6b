package process

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/goldcrestspool/goldcrestspool/api/standin/v1/standinv1connect"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/platform/connectplatform"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/admin"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/cloud"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/instances"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/logstore"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/weights"
)

// PlatformOptions are the settings of the platform stand-in.
type PlatformOptions struct {
	Listen           string
	MaxRecords       int
	AppendsPerSecond float64
	ListLag          time.Duration
	ChecksFencing    bool
	ModelBytes       uint64
	BytesPerSecond   float64
}

// RunPlatform serves the platform stand-in until ctx ends.
func RunPlatform(ctx context.Context, options PlatformOptions, out io.Writer) error {
	server, err := serve(options.Listen, platformHandler(options))
	if err != nil {
		return err
	}
	if err := (event{Event: "listening", Role: "platform", Address: server.address}).print(out); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return stopPlatform(server)
	case err := <-server.serveErr:
		return err
	}
}

// stopPlatform waits for requests in flight up to shutdownTimeout and then closes
// their connections. That cuts off long-poll reads, whose readers read again.
func stopPlatform(server *server) error {
	if err := server.shutdown(); err != nil {
		return server.closeNow()
	}
	return nil
}

func platformHandler(options PlatformOptions) http.Handler {
	list := instances.New(options.ListLag)
	services := &admin.Platform{
		Log: logstore.New(logstore.Options{
			MaxRecords:       options.MaxRecords,
			AppendsPerSecond: options.AppendsPerSecond,
		}),
		Instances: list,
		Cloud: cloud.New(cloud.Options{
			ChecksFencing: options.ChecksFencing,
			ServiceOf: func(id ident.Instance) ident.Service {
				instance, _ := list.Find(id)
				return instance.Service
			},
			OnStopped:   func(id ident.Instance) { list.SetState(id, 0, platform.Leaving) },
			OnAnnounced: func(n platform.Notice) { applyNotice(list, n) },
		}),
		Weights: weights.New(weights.Options{
			ModelBytes:     options.ModelBytes,
			BytesPerSecond: options.BytesPerSecond,
		}),
	}
	mux := http.NewServeMux()
	connectplatform.Mount(mux, connectplatform.Services{
		Log:       services.Log,
		Instances: services.Instances,
		Cloud:     services.Cloud,
		Weights:   services.Weights,
	})
	mux.Handle(standinv1connect.NewPlatformAdminServiceHandler(services))
	return mux
}

// applyNotice changes the listed state of a notice's instance: to leaving now, and
// to ended when the notice has run out.
func applyNotice(list *instances.List, n platform.Notice) {
	list.SetState(n.Instance, n.Incarnation, platform.Leaving)
	time.AfterFunc(n.EndsIn, func() {
		list.SetState(n.Instance, n.Incarnation, platform.Ended)
	})
}
