// Package command is the command line of loadgen.
package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/loadgen"
)

// The exit statuses.
const (
	ExitGood = 0
	// ExitBroken: an answer was wrong, short, doubled or lost, or the load
	// could not be sent.
	ExitBroken = 1
	ExitUsage  = 2
)

// progressInterval is the time between updates of the progress line.
const progressInterval = 250 * time.Millisecond

// account is a client account on the command line: NAME=TOKEN or
// NAME=TOKEN=WEIGHT.
type account struct{ loadgen.Account }

// UnmarshalText implements go-arg's interface.
func (a *account) UnmarshalText(text []byte) error {
	parts := strings.Split(string(text), "=")
	if len(parts) < 2 || len(parts) > 3 || parts[0] == "" || parts[1] == "" {
		return errors.Errorf("account %q is not NAME=TOKEN or NAME=TOKEN=WEIGHT", text)
	}
	a.Name, a.Token, a.Weight = ident.ClientAccount(parts[0]), parts[1], 1
	if len(parts) == 2 {
		return nil
	}
	weight, err := strconv.ParseFloat(parts[2], 64)
	if err != nil || weight <= 0 {
		return errors.Errorf("account %q: weight %q is not a positive number", parts[0], parts[2])
	}
	a.Weight = weight
	return nil
}

type arguments struct {
	Gateways []string  `arg:"--gateway,separate,required" placeholder:"HOST:PORT" help:"gateway for callers; may be given several times"`
	Accounts []account `arg:"--account,separate,required" placeholder:"NAME=TOKEN[=WEIGHT]" help:"client account; may be given several times"`
	Plains   []string  `arg:"--plain,separate" placeholder:"HOST:PORT" help:"plain stand-in whose executions are compared with the bookings"`

	Rate     float64       `default:"50" help:"arrivals a second on the mean (Poisson)"`
	Duration time.Duration `default:"10s" help:"how long arrivals are sent"`
	Seed     uint64        `default:"1" help:"seed of the arrivals"`
	Trace    string        `placeholder:"FILE" help:"arrivals from JSON lines with at_ms, kind, account; in place of --rate"`

	Short    float64 `default:"0.6" help:"share of short replies"`
	Long     float64 `default:"0.1" help:"share of long reviews"`
	Bookings float64 `default:"0.3" help:"share of bookings"`

	ModelService  string `arg:"--model-service" default:"spool-llm" help:"service of short and long requests"`
	ShortClass    string `arg:"--short-class" default:"short" help:"latency class of short requests"`
	LongClass     string `arg:"--long-class" default:"long" help:"latency class of long requests"`
	ShortPrompt   int    `arg:"--short-prompt" default:"64" help:"prompt tokens of a short request"`
	LongPrompt    int    `arg:"--long-prompt" default:"1024" help:"prompt tokens of a long request"`
	SharedPrefix  int    `arg:"--shared-prefix" default:"512" help:"prompt tokens that an account's long requests share"`
	ShortTokens   int    `arg:"--short-tokens" default:"16" help:"answer tokens of a short request"`
	LongTokens    int    `arg:"--long-tokens" default:"128" help:"answer tokens of a long request"`
	PlainService  string `arg:"--plain-service" default:"auktion-app" help:"service of bookings"`
	BookingMethod string `arg:"--booking-method" default:"place_bid" help:"method of bookings"`

	Patience    time.Duration `default:"60s" help:"how long a caller waits for its final outcome"`
	Silence     time.Duration `default:"5s" help:"silence after which a caller goes to another gateway"`
	MaxRefusals int           `arg:"--max-refusals" default:"3" help:"refusals after which a caller gives up"`
	JSON        bool          `arg:"--json" help:"print the result as JSON"`
}

// Description implements go-arg's interface for --help.
func (arguments) Description() string {
	return "Sends an open-loop load to gateways and checks every answer. " +
		"Exit status 1 if an answer was wrong, short, doubled or lost."
}

// Version implements go-arg's interface for --version.
func (arguments) Version() string { return "loadgen (goldcrestspool)" }

// Run executes a command line and returns the exit status. When ctx ends, no more
// arrivals are sent.
func Run(ctx context.Context, args []string, stdout io.Writer, stderr *os.File) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "loadgen", Out: stderr}, &parsed)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitBroken
	}
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelp(stdout)
		return ExitGood
	case errors.Is(err, arg.ErrVersion):
		fmt.Fprintln(stdout, parsed.Version())
		return ExitGood
	case err != nil:
		parser.WriteUsage(stderr)
		fmt.Fprintln(stderr, "error:", err)
		return ExitUsage
	}
	arrivals, err := parsed.arrivals()
	if err != nil {
		fmt.Fprintln(stderr, "loadgen:", err)
		return ExitUsage
	}
	result := parsed.send(ctx, arrivals, stderr)
	if err := parsed.print(result, stdout); err != nil {
		fmt.Fprintln(stderr, "loadgen:", err)
		return ExitBroken
	}
	if result.Broken > 0 {
		return ExitBroken
	}
	return ExitGood
}

func (a *arguments) arrivals() ([]loadgen.Arrival, error) {
	workload := a.workload()
	if a.Trace == "" {
		if a.Rate <= 0 || a.Short < 0 || a.Long < 0 || a.Bookings < 0 || a.Short+a.Long+a.Bookings <= 0 {
			return nil, errors.New("--rate and the sum of --short, --long and --bookings have to be positive")
		}
		return workload.Poisson(a.Rate, a.Duration, a.Seed), nil
	}
	file, err := os.Open(a.Trace)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return workload.ReadTrace(file)
}

func (a *arguments) workload() *loadgen.Workload {
	workload := &loadgen.Workload{
		ModelService:  ident.Service(a.ModelService),
		PlainService:  ident.Service(a.PlainService),
		BookingMethod: ident.Method(a.BookingMethod),
		Shapes: map[loadgen.Kind]loadgen.Shape{
			loadgen.Short: {
				Class:        ident.Class(a.ShortClass),
				PromptTokens: a.ShortPrompt,
				MaxTokens:    a.ShortTokens,
			},
			loadgen.Long: {
				Class:        ident.Class(a.LongClass),
				PromptTokens: a.LongPrompt,
				SharedTokens: a.SharedPrefix,
				MaxTokens:    a.LongTokens,
			},
		},
		Weights: map[loadgen.Kind]float64{
			loadgen.Short:   a.Short,
			loadgen.Long:    a.Long,
			loadgen.Booking: a.Bookings,
		},
	}
	for _, account := range a.Accounts {
		workload.Accounts = append(workload.Accounts, account.Account)
	}
	return workload
}

func (a *arguments) send(ctx context.Context, arrivals []loadgen.Arrival, stderr *os.File) *loadgen.Result {
	run := loadgen.NewRun(loadgen.Options{
		Gateways:       a.Gateways,
		PlainStandins:  a.Plains,
		CallerTimeout:  a.Patience,
		SilenceTimeout: a.Silence,
		MaxRefusals:    a.MaxRefusals,
	}, a.workload())
	if isTerminal(stderr) {
		stop := showProgress(run, len(arrivals), stderr)
		defer stop()
	}
	return run.Do(ctx, arrivals)
}

func (a *arguments) print(result *loadgen.Result, out io.Writer) error {
	if !a.JSON {
		return result.Print(out)
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(result)
}
