// Package spoolctl is the operators' command line. It validates and publishes
// the services' configuration documents, shows their history, and queries
// gateways for their status and for the explanation of a request.
package spoolctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/finding"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/platform/connectplatform"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
)

// The exit statuses.
const (
	// ExitGood means that the command succeeded.
	ExitGood = 0
	// ExitRefused means that the command was refused, that another operator's
	// publication came first, or that the platform or gateway is not reachable.
	ExitRefused = 1
	// ExitUsage means a bad command line or a document with findings.
	ExitUsage = 2
)

// arguments is the command line.
type arguments struct {
	Validate *validateArguments `arg:"subcommand:validate" help:"check documents without publishing them"`
	Publish  *publishArguments  `arg:"subcommand:publish" help:"put a new version of a document in force"`
	History  *historyArguments  `arg:"subcommand:history" help:"list the versions of a service's document"`
	Show     *showArguments     `arg:"subcommand:show" help:"print a version of a service's document"`
	Status   *statusArguments   `arg:"subcommand:status" help:"show readiness, revision and members of a gateway"`
	Explain  *explainArguments  `arg:"subcommand:explain" help:"tell why a request went where it went"`

	StartOver *startOverArguments `arg:"subcommand:start-over" help:"begin with no documents after the log lost them"`

	JSON bool `arg:"--json" help:"print the result as JSON"`
}

type validateArguments struct {
	Files []string `arg:"positional,required" placeholder:"FILE"`
}

// platformArguments are common to the commands that read the platform's log.
type platformArguments struct {
	Platform string        `arg:"required,env:SPOOLCTL_PLATFORM" placeholder:"ADDR" help:"platform's address, host:port or URL"`
	Patience time.Duration `default:"30s" help:"how long to wait for the log"`
}

type publishArguments struct {
	File string `arg:"positional,required"`
	platformArguments
	Base      *uint64 `placeholder:"REVISION" help:"refuse unless the service is still at this revision, from which the file was edited; 0 for a new service [default: whatever is in force]"`
	PublishID string  `arg:"--publish-id" placeholder:"ID" help:"ID of an earlier, undecided publication to settle first"`
}

type historyArguments struct {
	Service string `arg:"positional,required"`
	platformArguments
}

type showArguments struct {
	Service string `arg:"positional,required"`
	platformArguments
	Revision uint64 `placeholder:"REVISION" help:"an accepted revision [default: the one in force]"`
}

type startOverArguments struct {
	platformArguments
	Confirm bool `help:"all instances that knew the documents are gone; all services will be published again"`
}

// gatewayArguments are common to the commands that query a gateway.
type gatewayArguments struct {
	Gateway string `arg:"required,env:SPOOLCTL_GATEWAY" placeholder:"ADDR" help:"gateway's operators' address, host:port or URL"`
}

type statusArguments struct{ gatewayArguments }

type explainArguments struct {
	RequestID string `arg:"positional,required" placeholder:"REQUEST_ID"`
	gatewayArguments
}

// Description implements go-arg's interface for --help.
func (arguments) Description() string {
	return "Operates goldcrestspool. Exit status 0: done; 1: refused, lost to another operator " +
		"or not reachable; 2: bad usage or input."
}

// Version implements go-arg's interface for --version.
func (arguments) Version() string { return "spoolctl (goldcrestspool)" }

// Run executes a command line and returns the exit status.
func Run(ctx context.Context, args []string, stdout io.Writer, stderr *os.File) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "spoolctl", Out: stderr}, &parsed)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...)
		return ExitGood
	case errors.Is(err, arg.ErrVersion):
		fmt.Fprintln(stdout, parsed.Version())
		return ExitGood
	case err == nil && parser.Subcommand() == nil:
		err = errors.New("no command")
		fallthrough
	case err != nil:
		_ = parser.WriteUsageForSubcommand(stderr, parser.SubcommandNames()...)
		fmt.Fprintln(stderr, "error:", err)
		return ExitUsage
	}
	c := &command{out: stdout, json: parsed.JSON}
	return c.exitStatus(c.run(ctx, &parsed), stderr)
}

// command executes one command and prints its result to out, as JSON if json
// is set.
type command struct {
	out  io.Writer
	json bool
}

func (c *command) run(ctx context.Context, a *arguments) error {
	switch {
	case a.Validate != nil:
		return c.validate(a.Validate)
	case a.Publish != nil:
		return c.publish(ctx, a.Publish)
	case a.History != nil:
		return c.history(ctx, a.History)
	case a.Show != nil:
		return c.show(ctx, a.Show)
	case a.Status != nil:
		return c.status(ctx, a.Status)
	case a.StartOver != nil:
		return c.startOver(ctx, a.StartOver)
	}
	return c.explain(ctx, a.Explain)
}

// exitStatus prints the command's error, if any, and returns the exit status.
func (c *command) exitStatus(err error, stderr io.Writer) int {
	var findings *finding.Error
	switch {
	case err == nil:
		return ExitGood
	case errors.As(err, &findings):
		c.printFindings(findings.Findings, stderr)
		return ExitUsage
	case errors.Is(err, errResultPrinted):
		return ExitRefused
	}
	fmt.Fprintln(stderr, "spoolctl:", err)
	if errcode.Of(err) == errcode.InvalidArgument {
		return ExitUsage
	}
	return ExitRefused
}

// errResultPrinted is returned by a command that has printed an unsuccessful
// result itself, so that no error message follows.
var errResultPrinted = errors.New("result was printed")

func (c *command) printFindings(list finding.List, stderr io.Writer) {
	if c.json {
		c.printJSON(struct {
			Findings finding.List `json:"findings"`
		}{list})
		return
	}
	for _, f := range list {
		fmt.Fprintln(stderr, f)
	}
}

// openStream returns the configuration stream of the platform's log. It sends
// no request yet.
func (a *platformArguments) openStream() (*configStream, error) {
	base, err := baseURL(a.Platform)
	if err != nil {
		return nil, err
	}
	client := transport.NewClient(transport.Options{FreshConnections: true, RequireFrame: true})
	return &configStream{log: platform.Log(connectplatform.NewClient(client, base)), timeout: a.Patience}, nil
}

// baseURL returns the URL of an address that is given as host:port or as a URL.
func baseURL(address string) (string, error) {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	req, err := http.NewRequest(http.MethodGet, address, nil)
	if err != nil || req.URL.Host == "" {
		return "", errcode.Errorf(errcode.InvalidArgument, "%q is not an address such as 127.0.0.1:8080", address)
	}
	return strings.TrimSuffix(address, "/"), nil
}

// revisionOrNone formats a revision; 0 means that no document is in force and
// becomes "none".
func revisionOrNone(r ident.Revision) string {
	if r == 0 {
		return "none"
	}
	return fmt.Sprint(r)
}
