package process

import (
	"context"
	"io"
	"net/http"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/api/standin/v1/standinv1connect"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/admin"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/plain"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream/connectupstream"
)

// PlainOptions are the settings of a plain stand-in.
type PlainOptions struct {
	UpstreamOptions
	ChecksFencing bool
	FindsOutcomes bool
	Delays        plain.Delays
}

// RunPlain serves a plain stand-in until ctx ends or it is reclaimed.
func RunPlain(ctx context.Context, options PlainOptions, logger hclog.Logger, out io.Writer) error {
	options.Instance.Role = platform.RolePlain
	build := func(mux *http.ServeMux, incarnation ident.Incarnation) drainable {
		service := plain.New(plain.Options{
			Instance:      options.Instance.ID,
			Incarnation:   incarnation,
			ChecksFencing: options.ChecksFencing,
			FindsOutcomes: options.FindsOutcomes,
		})
		service.SetDelays(options.Delays)
		connectupstream.MountPlain(mux, service)
		mux.Handle(standinv1connect.NewPlainAdminServiceHandler(&admin.Plain{Service: service}))
		return drainablePlain{service}
	}
	return runUpstream(ctx, "plain", options.UpstreamOptions, build, logger, out)
}

// drainablePlain makes a plain service drainable.
type drainablePlain struct{ service *plain.Service }

func (p drainablePlain) Leave() { p.service.SetLeaving(true) }

func (p drainablePlain) Wait(ctx context.Context) error { return p.service.Drain(ctx) }
