// Command capacity measures how the cost of the system's parts grows with its size, and
// rewrites the generated parts of docs/CAPACITY.md. It is a development tool.
package main

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/goldcrestspool/goldcrestspool/internal/capacity"
)

type arguments struct {
	Only   string `arg:"--only" help:"IDs of series, with commas between; writes no page"`
	Fleets string `arg:"--fleets,required" help:"file that go test ./internal/capacity -run TestFleets -fleets=FILE wrote"`
	Page   string `arg:"--page" default:"docs/CAPACITY.md" help:"page to rewrite"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args arguments) error {
	all, err := capacity.All(args.Fleets)
	if err != nil {
		return err
	}
	series := slices.DeleteFunc(all, func(s capacity.Series) bool {
		return args.Only != "" && !slices.Contains(strings.Split(args.Only, ","), string(s.ID))
	})
	lines, err := capacity.Measure(series, os.Stderr)
	if err != nil || args.Only != "" {
		return err
	}
	return capacity.WritePage(args.Page, lines, describeRun())
}

// describeRun returns a sentence that tells when and on what machine the figures were
// measured.
func describeRun() string {
	load := "unknown"
	if data, err := os.ReadFile("/proc/loadavg"); err == nil {
		load, _, _ = strings.Cut(string(data), " ")
	}
	return fmt.Sprintf("Taken by `make capacity` on %s, %d processors, load average %s at the end, %s.",
		time.Now().UTC().Format("2006-01-02 15:04 UTC"), runtime.NumCPU(), load, runtime.Version())
}
