// Package origintest provides registries of streams' software for tests of other packages.
package origintest

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/origin"
)

// NewRegistry returns the registry of a gateway that has just started and knows no others.
func NewRegistry() *origin.Registry {
	return origin.NewRegistry(origin.Config{Now: time.Now, Log: hclog.NewNullLogger(), ViewAge: func() time.Duration { return 0 }, Refresh: func(context.Context) bool { return true }, Beginnings: NoBeginnings{}, OnBegun: func() {}})
}

// NoBeginnings keeps nothing and forbids nothing.
type NoBeginnings struct{}

// Record implements origin.Beginnings.
func (NoBeginnings) Record(context.Context, origin.Origin) error { return nil }

// Read implements origin.Beginnings.
func (NoBeginnings) Read(context.Context) ([]origin.Origin, error) { return nil, nil }

// OneVersion returns the registry of a gateway that has always known that one software version of a
// service serves.
func OneVersion(service ident.Service) *origin.Registry {
	r := NewRegistry()
	r.Observe(directory.NewView([]directory.Upstream{{ID: "u0", Service: service}}), 0)
	r.MarkComplete(time.Unix(0, 0))
	return r
}
