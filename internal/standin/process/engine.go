package process

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/basicengine"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream/connectupstream"
)

// EngineOptions are the settings of an engine stand-in.
type EngineOptions struct {
	UpstreamOptions
	Step time.Duration
}

// RunEngine serves an engine stand-in until ctx ends or it is reclaimed.
func RunEngine(ctx context.Context, options EngineOptions, logger hclog.Logger, out io.Writer) error {
	options.Instance.Role = platform.RoleEngine
	build := func(mux *http.ServeMux, incarnation ident.Incarnation) work {
		engine := basicengine.New(basicengine.Options{
			Instance:    options.Instance.ID,
			Incarnation: incarnation,
			Step:        options.Step,
		})
		connectupstream.MountEngine(mux, engine)
		return engine
	}
	return runUpstream(ctx, "engine", options.UpstreamOptions, build, logger, out)
}
