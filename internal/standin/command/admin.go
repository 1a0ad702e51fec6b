package command

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	platformv1 "github.com/goldcrestspool/goldcrestspool/api/platform/v1"
	"github.com/goldcrestspool/goldcrestspool/api/platform/v1/platformv1connect"
	standinv1 "github.com/goldcrestspool/goldcrestspool/api/standin/v1"
	"github.com/goldcrestspool/goldcrestspool/api/standin/v1/standinv1connect"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
)

const adminTimeout = 10 * time.Second

type adminArguments struct {
	Platform string             `help:"host:port of the platform stand-in"`
	Register *registerArguments `arg:"subcommand:register" help:"add an instance to the list"`
	SetState *setStateArguments `arg:"subcommand:set-state" help:"change an instance's state in the list"`
	Notice   *noticeArguments   `arg:"subcommand:notice" help:"announce the reclaim of an instance"`
	Outage   *outageArguments   `arg:"subcommand:outage" help:"switch an outage on or off"`
	Slow     *slowArguments     `arg:"subcommand:slow" help:"delay every request"`
	LoseNext *loseArguments     `arg:"subcommand:lose-next-answer" help:"lose the next request with an effect"`
	Capacity *capacityArguments `arg:"subcommand:capacity" help:"say whether instances start"`
	List     *struct{}          `arg:"subcommand:list" help:"print the instances as readers see them"`
	Stats    *struct{}          `arg:"subcommand:stats" help:"print what the platform counted"`
	Effects  *effectsArguments  `arg:"subcommand:effects" help:"print what a plain stand-in executed"`
}

type registerArguments struct {
	ID            string `arg:"--id,required" help:"instance ID"`
	Role          string `default:"entry" help:"entry, engine or plain"`
	Service       string `help:"service; empty for entry instances"`
	Region        string `help:"region"`
	FailureDomain string `arg:"--failure-domain,required" help:"failure domain"`
	Class         string `help:"machine class"`
	Reclaimable   bool   `help:"register as reclaimable"`
	Address       string `arg:"required" help:"host:port for callers or work"`
	PeerAddress   string `arg:"--peer-address" help:"host:port for other gateways"`
	Incarnation   uint64 `help:"number of this life; 0 takes the next"`
}

type setStateArguments struct {
	ID    string `arg:"--id,required" help:"instance ID"`
	State string `arg:"required" help:"live, leaving or ended"`
}

type noticeArguments struct {
	ID      string  `arg:"--id,required" help:"instance ID"`
	Seconds float64 `arg:"required" help:"time until the instance ends"`
}

type outageArguments struct {
	Switch string `arg:"positional,required" help:"on or off"`
	Part   string `default:"log" help:"log, instances, cloud or weights"`
}

type slowArguments struct {
	Delay time.Duration `arg:"positional,required" help:"delay of each request; 0s ends it"`
	Part  string        `default:"log" help:"log, instances, cloud or weights"`
}

type loseArguments struct {
	Mode   string        `default:"after" help:"before or after the effect, or late: the effect comes later"`
	LateBy time.Duration `arg:"--late-by" default:"2s" help:"for late: when the effect comes"`
	Part   string        `default:"log" help:"log, instances, cloud or weights"`
}

type capacityArguments struct {
	Switch        string `arg:"positional,required" help:"on or off"`
	FailureDomain string `arg:"--failure-domain,required" help:"failure domain"`
	Class         string `arg:"required" help:"machine class"`
}

type effectsArguments struct {
	Plain string `arg:"required" help:"host:port of the plain stand-in"`
}

var parts = map[string]standinv1.Part{
	"log":       standinv1.Part_PART_LOG,
	"instances": standinv1.Part_PART_INSTANCES,
	"cloud":     standinv1.Part_PART_CLOUD,
	"weights":   standinv1.Part_PART_WEIGHTS,
}

var roles = map[string]platformv1.Role{
	"entry":  platformv1.Role_ROLE_ENTRY,
	"engine": platformv1.Role_ROLE_ENGINE,
	"plain":  platformv1.Role_ROLE_PLAIN,
}

var states = map[string]platformv1.InstanceState{
	"live":    platformv1.InstanceState_INSTANCE_STATE_LIVE,
	"leaving": platformv1.InstanceState_INSTANCE_STATE_LEAVING,
	"ended":   platformv1.InstanceState_INSTANCE_STATE_ENDED,
}

var losses = map[string]standinv1.Loss{
	"before": standinv1.Loss_LOSS_BEFORE_EFFECT,
	"after":  standinv1.Loss_LOSS_AFTER_EFFECT,
	"late":   standinv1.Loss_LOSS_LATE,
}

var switches = map[string]bool{"on": true, "off": false}

// lookup returns the value that a word stands for, or a usage error that names the
// argument.
func lookup[V any](words map[string]V, word, argument string) (V, error) {
	value, ok := words[word]
	if !ok {
		return value, usagef("%s: %q is not one of the words that --help lists", argument, word)
	}
	return value, nil
}

// run executes one administrative command and prints its answer as JSON.
func (a *adminArguments) run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	answer, err := a.request(ctx)
	if err != nil {
		return err
	}
	encoder := protojson.MarshalOptions{EmitUnpopulated: true, UseProtoNames: true}
	line, err := encoder.Marshal(answer)
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = out.Write(append(line, '\n'))
	return errors.WithStack(err)
}

func (a *adminArguments) request(ctx context.Context) (proto.Message, error) {
	client := transport.NewClient(transport.Options{})
	defer client.CloseIdleConnections()
	if a.Effects != nil {
		plainAdmin := standinv1connect.NewPlainAdminServiceClient(client, baseURL(a.Effects.Plain))
		return plainAdmin.GetEffects(ctx, &standinv1.GetEffectsRequest{})
	}
	if a.Platform == "" {
		return nil, usagef("--platform is required")
	}
	if a.List != nil {
		instances := platformv1connect.NewInstanceServiceClient(client, baseURL(a.Platform))
		return instances.ListInstances(ctx, &platformv1.ListInstancesRequest{})
	}
	admin := standinv1connect.NewPlatformAdminServiceClient(client, baseURL(a.Platform))
	switch {
	case a.Register != nil:
		return a.Register.request(ctx, admin)
	case a.SetState != nil:
		return a.SetState.request(ctx, admin)
	case a.Notice != nil:
		return admin.Announce(ctx, &standinv1.AnnounceRequest{
			InstanceId: a.Notice.ID,
			EndsIn:     durationpb.New(time.Duration(a.Notice.Seconds * float64(time.Second))),
		})
	case a.Outage != nil:
		return a.Outage.request(ctx, admin)
	case a.Slow != nil:
		return a.Slow.request(ctx, admin)
	case a.LoseNext != nil:
		return a.LoseNext.request(ctx, admin)
	case a.Capacity != nil:
		return a.Capacity.request(ctx, admin)
	case a.Stats != nil:
		return admin.GetStats(ctx, &standinv1.GetStatsRequest{})
	}
	return nil, usagef("admin needs a command; see --help")
}

func (r *registerArguments) request(
	ctx context.Context, admin standinv1connect.PlatformAdminServiceClient,
) (proto.Message, error) {
	role, err := lookup(roles, r.Role, "--role")
	if err != nil {
		return nil, err
	}
	return admin.Register(ctx, &standinv1.RegisterRequest{Instance: &platformv1.Instance{
		Id:            r.ID,
		Incarnation:   r.Incarnation,
		Role:          role,
		Service:       r.Service,
		Region:        r.Region,
		FailureDomain: r.FailureDomain,
		MachineClass:  r.Class,
		Reclaimable:   r.Reclaimable,
		Address:       r.Address,
		PeerAddress:   r.PeerAddress,
	}})
}

func (s *setStateArguments) request(
	ctx context.Context, admin standinv1connect.PlatformAdminServiceClient,
) (proto.Message, error) {
	state, err := lookup(states, s.State, "--state")
	if err != nil {
		return nil, err
	}
	return admin.SetState(ctx, &standinv1.SetStateRequest{InstanceId: s.ID, State: state})
}

func (o *outageArguments) request(
	ctx context.Context, admin standinv1connect.PlatformAdminServiceClient,
) (proto.Message, error) {
	part, err := lookup(parts, o.Part, "--part")
	if err != nil {
		return nil, err
	}
	on, err := lookup(switches, o.Switch, "outage")
	if err != nil {
		return nil, err
	}
	return admin.SetFaults(ctx, &standinv1.SetFaultsRequest{Part: part, Outage: on})
}

func (s *slowArguments) request(
	ctx context.Context, admin standinv1connect.PlatformAdminServiceClient,
) (proto.Message, error) {
	part, err := lookup(parts, s.Part, "--part")
	if err != nil {
		return nil, err
	}
	return admin.SetFaults(ctx, &standinv1.SetFaultsRequest{Part: part, Delay: durationpb.New(s.Delay)})
}

func (l *loseArguments) request(
	ctx context.Context, admin standinv1connect.PlatformAdminServiceClient,
) (proto.Message, error) {
	part, err := lookup(parts, l.Part, "--part")
	if err != nil {
		return nil, err
	}
	loss, err := lookup(losses, l.Mode, "--mode")
	if err != nil {
		return nil, err
	}
	return admin.LoseNext(ctx, &standinv1.LoseNextRequest{
		Part:   part,
		Loss:   loss,
		LateBy: durationpb.New(l.LateBy),
	})
}

func (c *capacityArguments) request(
	ctx context.Context, admin standinv1connect.PlatformAdminServiceClient,
) (proto.Message, error) {
	available, err := lookup(switches, c.Switch, "capacity")
	if err != nil {
		return nil, err
	}
	return admin.SetCapacity(ctx, &standinv1.SetCapacityRequest{
		FailureDomain: c.FailureDomain,
		MachineClass:  c.Class,
		Available:     available,
	})
}
