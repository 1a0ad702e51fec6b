package process

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	platformv1 "github.com/goldcrestspool/goldcrestspool/api/platform/v1"
	standinv1 "github.com/goldcrestspool/goldcrestspool/api/standin/v1"
	"github.com/goldcrestspool/goldcrestspool/api/standin/v1/standinv1connect"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/platform/connectplatform"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
)

const (
	// noticePollInterval is the time between two polls for reclaim notices.
	noticePollInterval = 200 * time.Millisecond
	// adminTimeout is the time limit for the registration with the platform
	// stand-in.
	adminTimeout = 5 * time.Second
)

// UpstreamOptions are the settings that all upstream stand-ins have in common.
type UpstreamOptions struct {
	Listen string
	// PlatformURL is the base URL of the platform stand-in.
	PlatformURL string
	// Instance is the instance to register; role, address and incarnation are
	// filled in.
	Instance platform.Instance
	// DrainLimit is the longest wait for requests in flight at a planned stop.
	DrainLimit time.Duration
}

// drainable is an upstream that can be stopped without cutting off requests.
type drainable interface {
	// Leave makes the upstream refuse new requests.
	Leave()
	// Wait returns nil once no request is in flight, or the context's error.
	Wait(context.Context) error
}

// upstreamServer is one registered upstream stand-in.
type upstreamServer struct {
	options  UpstreamOptions
	role     string
	instance platform.Instance
	server   *server
	upstream drainable
	admin    standinv1connect.PlatformAdminServiceClient
	cloud    platform.Cloud
	logger   hclog.Logger
	out      io.Writer
}

// buildFunc creates an upstream, once its incarnation is known, and mounts its
// handlers on mux.
type buildFunc func(mux *http.ServeMux, incarnation ident.Incarnation) drainable

// runUpstream registers and serves an upstream until ctx ends or its instance
// is reclaimed.
func runUpstream(
	ctx context.Context, role string, options UpstreamOptions, build buildFunc, logger hclog.Logger, out io.Writer,
) error {
	client := transport.NewClient(transport.Options{FreshConnections: true})
	defer client.CloseIdleConnections()
	mux := http.NewServeMux()
	server, err := serve(options.Listen, mux)
	if err != nil {
		return err
	}
	u := &upstreamServer{
		options:  options,
		role:     role,
		instance: options.Instance,
		server:   server,
		admin:    standinv1connect.NewPlatformAdminServiceClient(client, options.PlatformURL),
		cloud:    connectplatform.NewClient(client, options.PlatformURL),
		logger:   logger,
		out:      out,
	}
	if err := u.register(ctx, func(incarnation ident.Incarnation) { u.upstream = build(mux, incarnation) }); err != nil {
		return errors.WithMessage(errors.WithStack(err), "register with the platform")
	}
	if err := u.newEvent("listening").print(out); err != nil {
		return err
	}
	return u.serveUntilStopped(ctx)
}

// register adds the instance to the platform's list. It first registers the
// instance as ended, which assigns its incarnation, then builds the upstream, and
// only then sets its state to live, so that no request is sent to a server that
// cannot answer yet.
func (u *upstreamServer) register(ctx context.Context, build func(ident.Incarnation)) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	u.instance.Address = u.server.address
	u.instance.State = platform.Ended
	response, err := u.admin.Register(ctx, &standinv1.RegisterRequest{
		Instance: connectplatform.InstanceToProto(u.instance),
	})
	if err != nil {
		return err
	}
	u.instance.Incarnation = ident.Incarnation(response.GetIncarnation())
	build(u.instance.Incarnation)
	return u.setState(ctx, platformv1.InstanceState_INSTANCE_STATE_LIVE)
}

// serveUntilStopped returns once ctx has ended and the upstream has stopped, the
// instance was reclaimed, or the server failed.
func (u *upstreamServer) serveUntilStopped(ctx context.Context) error {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	notices := make(chan platform.Notice, 1)
	go u.watchNotices(watchCtx, notices)
	var reclaimed <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return u.stop()
		case err := <-u.server.serveErr:
			return err
		case notice := <-notices:
			u.upstream.Leave()
			u.logger.Info("reclaim announced", "instance", u.instance.ID, "ends_in", notice.EndsIn)
			reclaimed = time.After(notice.EndsIn)
		case <-reclaimed:
			if err := u.newEvent("reclaimed").print(u.out); err != nil {
				return err
			}
			return u.server.closeNow()
		}
	}
}

// watchNotices polls for notices and sends the first one for this incarnation of
// the instance to notices.
func (u *upstreamServer) watchNotices(ctx context.Context, notices chan<- platform.Notice) {
	ticker := time.NewTicker(noticePollInterval)
	defer ticker.Stop()
	after := uint64(0)
	for {
		list, err := u.cloud.Notices(ctx, after)
		if err != nil && ctx.Err() == nil {
			u.logger.Debug("cannot read notices", "error", err)
		}
		for _, notice := range list {
			after = max(after, notice.Sequence)
			if notice.Instance == u.instance.ID && notice.Incarnation == u.instance.Incarnation {
				notices <- notice
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// stop stops the upstream without cutting off requests in flight, for which it
// waits up to DrainLimit.
func (u *upstreamServer) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), u.options.DrainLimit)
	defer cancel()
	u.upstream.Leave()
	if err := u.setState(ctx, platformv1.InstanceState_INSTANCE_STATE_LEAVING); err != nil {
		u.logger.Warn("cannot report to the platform that the upstream is leaving", "error", err)
	}
	if err := u.upstream.Wait(ctx); err != nil {
		u.logger.Error("requests cut off at the drain limit", "limit", u.options.DrainLimit)
		return errors.WithStack(err)
	}
	if err := u.server.shutdown(); err != nil {
		return errors.WithStack(err)
	}
	if err := u.setState(ctx, platformv1.InstanceState_INSTANCE_STATE_ENDED); err != nil {
		u.logger.Warn("cannot report to the platform that the upstream has ended", "error", err)
	}
	return u.newEvent("stopped").print(u.out)
}

func (u *upstreamServer) setState(ctx context.Context, state platformv1.InstanceState) error {
	_, err := u.admin.SetState(ctx, &standinv1.SetStateRequest{
		InstanceId:  string(u.instance.ID),
		Incarnation: uint64(u.instance.Incarnation),
		State:       state,
	})
	return err
}

func (u *upstreamServer) newEvent(name string) event {
	return event{
		Event:       name,
		Role:        u.role,
		ID:          u.instance.ID,
		Incarnation: u.instance.Incarnation,
		Address:     u.server.address,
	}
}
