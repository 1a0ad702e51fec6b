// Package command is the command line of the stand-ins.
package command

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/engine"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/plain"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/process"
)

// The exit statuses.
const (
	ExitGood   = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// arguments is the whole command line.
type arguments struct {
	Platform *platformArguments `arg:"subcommand:platform" help:"serve log, instance list, cloud and weight store"`
	Engine   *engineArguments   `arg:"subcommand:engine" help:"serve a model engine"`
	Plain    *plainArguments    `arg:"subcommand:plain" help:"serve a plain service"`
	Admin    *adminArguments    `arg:"subcommand:admin" help:"set up a platform stand-in and make it fail"`
	LogLevel string             `arg:"--log-level" default:"info" help:"trace, debug, info, warn or error"`
}

// Description implements go-arg's interface for --help.
func (arguments) Description() string {
	return "Stand-ins for the platform and the upstreams, for development and tests."
}

// Version implements go-arg's interface for --version.
func (arguments) Version() string { return "standin (goldcrestspool)" }

// platformArguments must have the same fields as process.PlatformOptions, to which
// it is converted.
type platformArguments struct {
	Listen           string        `default:"127.0.0.1:0" help:"address to serve on; port 0 lets the kernel choose"`
	MaxRecords       int           `arg:"--max-records" help:"records kept of a stream; 0 keeps all"`
	AppendsPerSecond float64       `arg:"--appends-per-second" default:"300" help:"limit of all streams together; 0 is none"`
	ListLag          time.Duration `arg:"--list-lag" default:"1s" help:"how late the instance list is"`
	ChecksFencing    bool          `arg:"--checks-fencing" help:"refuse cloud orders with old fencing numbers"`
	ModelBytes       uint64        `arg:"--model-bytes" default:"8000000000" help:"size of each model"`
	BytesPerSecond   float64       `arg:"--bytes-per-second" default:"1000000000" help:"rate of the weight store"`
}

// upstreamArguments are common to engines and plain services.
type upstreamArguments struct {
	Listen        string        `default:"127.0.0.1:0" help:"address to serve on; port 0 lets the kernel choose"`
	Platform      string        `arg:"required" help:"host:port of the platform stand-in"`
	ID            string        `arg:"--id,required" help:"instance ID"`
	Service       string        `arg:"required" help:"service that it runs"`
	Region        string        `help:"region"`
	FailureDomain string        `arg:"--failure-domain,required" help:"failure domain"`
	Class         string        `help:"machine class"`
	Reclaimable   bool          `help:"register as reclaimable"`
	DrainLimit    time.Duration `arg:"--drain-limit" default:"60s" help:"longest wait for running work after SIGTERM"`
}

type engineArguments struct {
	upstreamArguments
	Model         string        `help:"model loaded at the start"`
	ModelVersion  string        `arg:"--model-version" help:"version loaded at the start"`
	LoadTime      time.Duration `arg:"--load-time" default:"2s" help:"time to load another model or version"`
	ChecksFencing bool          `arg:"--checks-fencing" help:"refuse orders with old fencing numbers"`
	Step          time.Duration `default:"12ms" help:"time of a step apart from its contents"`
	PrefillRate   float64       `arg:"--prefill-rate" default:"8000" help:"tokens a second"`
	ReportLag     time.Duration `arg:"--report-lag" default:"250ms" help:"age of load reports"`
	EventLag      time.Duration `arg:"--event-lag" default:"500ms" help:"age of cache events"`
	EventGapEvery uint64        `arg:"--event-gap-every" help:"lose one run of cache events in so many; 0 loses none"`
	Slowdown      float64       `default:"1" help:"factor on each step that reports do not show"`
}

type plainArguments struct {
	upstreamArguments
	ChecksFencing bool          `arg:"--checks-fencing" help:"refuse calls with old fencing numbers"`
	FindsOutcomes bool          `arg:"--finds-outcomes" help:"tell the outcome of a key"`
	Before        time.Duration `default:"2ms" help:"time before a call takes effect"`
	After         time.Duration `default:"2ms" help:"time after a call took effect"`
}

// Run executes a command line and returns the exit status. Stand-ins serve until ctx
// ends.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "standin", Out: stderr}, &parsed)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	err = parser.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...)
		return ExitGood
	case errors.Is(err, arg.ErrVersion):
		fmt.Fprintln(stdout, parsed.Version())
		return ExitGood
	case err != nil:
		parser.WriteUsageForSubcommand(stderr, parser.SubcommandNames()...)
		fmt.Fprintln(stderr, "error:", err)
		return ExitUsage
	case parser.Subcommand() == nil:
		parser.WriteHelp(stderr)
		return ExitUsage
	}
	if err := dispatch(ctx, &parsed, stdout, stderr); err != nil {
		fmt.Fprintln(stderr, "standin:", err)
		return exitStatus(err)
	}
	return ExitGood
}

// usageError is a mistake on the command line that go-arg cannot detect.
type usageError struct{ problem string }

func (u *usageError) Error() string { return u.problem }

func usagef(format string, args ...any) error {
	return &usageError{problem: fmt.Sprintf(format, args...)}
}

func exitStatus(err error) int {
	var usage *usageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	return ExitFailed
}

func dispatch(ctx context.Context, parsed *arguments, stdout, stderr io.Writer) error {
	logger := hclog.New(&hclog.LoggerOptions{
		Name:       "standin",
		Level:      hclog.LevelFromString(parsed.LogLevel),
		Output:     stderr,
		JSONFormat: true,
	})
	switch {
	case parsed.Platform != nil:
		return process.RunPlatform(ctx, process.PlatformOptions(*parsed.Platform), stdout)
	case parsed.Engine != nil:
		return process.RunEngine(ctx, parsed.Engine.options(), logger, stdout)
	case parsed.Plain != nil:
		return process.RunPlain(ctx, parsed.Plain.options(), logger, stdout)
	default:
		return parsed.Admin.run(ctx, stdout)
	}
}

func (a *upstreamArguments) upstreamOptions() process.UpstreamOptions {
	return process.UpstreamOptions{
		Listen:      a.Listen,
		PlatformURL: baseURL(a.Platform),
		DrainLimit:  a.DrainLimit,
		Instance: platform.Instance{
			ID:            ident.Instance(a.ID),
			Service:       ident.Service(a.Service),
			Region:        ident.Region(a.Region),
			FailureDomain: ident.FailureDomain(a.FailureDomain),
			Class:         ident.MachineClass(a.Class),
			Reclaimable:   a.Reclaimable,
		},
	}
}

func (a *engineArguments) options() process.EngineOptions {
	parameters := engine.DefaultParameters()
	parameters.StepBase = a.Step
	parameters.PrefillRate = a.PrefillRate
	parameters.ReportLag = a.ReportLag
	parameters.EventLag = a.EventLag
	parameters.EventGapEvery = a.EventGapEvery
	parameters.Slowdown = a.Slowdown
	return process.EngineOptions{
		UpstreamOptions: a.upstreamOptions(),
		Config: engine.Config{
			Parameters:    parameters,
			Model:         a.Model,
			Version:       a.ModelVersion,
			ChecksFencing: a.ChecksFencing,
			LoadTime:      a.LoadTime,
		},
	}
}

func (a *plainArguments) options() process.PlainOptions {
	return process.PlainOptions{
		UpstreamOptions: a.upstreamOptions(),
		ChecksFencing:   a.ChecksFencing,
		FindsOutcomes:   a.FindsOutcomes,
		Delays:          plain.Delays{BeforeEffect: a.Before, AfterEffect: a.After},
	}
}

func baseURL(address string) string { return "http://" + address }
