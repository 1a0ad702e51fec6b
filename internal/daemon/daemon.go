// Package daemon runs daemons: it parses the command line, loads and checks the
// settings, handles signals and returns the exit status.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/goldcrestspool/goldcrestspool/internal/finding"
)

// The exit statuses of every daemon.
const (
	ExitOK = 0
	// ExitFailed means that the daemon ran and failed.
	ExitFailed = 1
	// ExitUsage means that the command line or the settings are invalid.
	ExitUsage = 2
)

// killGrace is how long a daemon may run on after the second signal, to log which work
// it aborts.
const killGrace = 500 * time.Millisecond

// Signals holds the contexts that end when a running daemon is told to stop. At the
// first SIGTERM or SIGINT, Stop ends: the daemon stops gracefully. At the second one,
// Kill ends: the daemon returns at once.
type Signals struct {
	Stop context.Context
	Kill context.Context
}

// Program is a daemon: a program that runs until it is told to stop.
type Program[S any] struct {
	Name        string
	Description string
	// DefaultSettings is the settings file that is used if the command line names
	// none. If it is empty, the command line must name one.
	DefaultSettings string
	// Load reads the settings file. The daemon does not run if there is a finding.
	Load func(path string) (*S, finding.List)
	// Run runs until signals.Stop ends, then stops gracefully.
	Run func(signals Signals, settings *S) error
}

// arguments holds the command line of every daemon.
type arguments struct {
	Settings      string `arg:"--settings" placeholder:"FILE" help:"settings of this process (TOML)"`
	CheckSettings bool   `arg:"--check-settings" help:"check the settings, print all findings and exit: 0 good, 2 bad"`

	name, description string
}

// Description returns the text above the options in --help.
func (a arguments) Description() string { return a.description }

// Version returns what --version prints.
func (a arguments) Version() string { return a.name + " " + Version() }

// Version returns the module version and the Go version that the toolchain recorded in
// the binary.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version + " " + info.GoVersion
}

// Main runs the program with the process's command line and returns its exit
// status.
func (p Program[S]) Main() int { return p.main(os.Args[1:], os.Stdout, os.Stderr) }

func (p Program[S]) main(args []string, stdout, stderr io.Writer) int {
	parsed := arguments{name: p.Name, description: p.Description}
	parsed.Settings = p.DefaultSettings
	status, done := parse(&parsed, p.Name, args, stdout, stderr)
	if done {
		return status
	}
	settings, findings := p.Load(parsed.Settings)
	if err := findings.Err(); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	if parsed.CheckSettings {
		fmt.Fprintln(stdout, parsed.Settings+": good")
		return ExitOK
	}
	if err := p.run(settings); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", p.Name, err)
		return ExitFailed
	}
	return ExitOK
}

// parse fills parsed from args. It reports done if the program has to exit with status:
// after --help or --version, or because the command line is invalid.
func parse(parsed *arguments, name string, args []string, stdout, stderr io.Writer) (status int, done bool) {
	parser, err := arg.NewParser(arg.Config{Program: name, Out: stdout}, parsed)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage, true
	}
	err = parser.Parse(args)
	switch {
	case err == nil && parsed.Settings == "":
		err = errors.New("--settings is required")
	case err == nil:
		return ExitOK, false
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelp(stdout)
		return ExitOK, true
	case errors.Is(err, arg.ErrVersion):
		fmt.Fprintln(stdout, parsed.Version())
		return ExitOK, true
	}
	parser.WriteUsage(stderr)
	fmt.Fprintf(stderr, "%s: %v\n", name, err)
	return ExitUsage, true
}

func (p Program[S]) run(settings *S) error {
	signals, release := watchSignals()
	defer release()
	return p.Run(signals, settings)
}

// watchSignals returns Signals whose Stop ends at the first signal and Kill at the
// second, and a function that stops watching. If that function has not been called
// killGrace after the second signal, the process exits, so that a stop that hangs cannot
// keep it alive.
func watchSignals() (Signals, func()) {
	stop, endStop := context.WithCancel(context.Background())
	kill, endKill := context.WithCancel(context.Background())
	received := make(chan os.Signal, 2)
	released := make(chan struct{})
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		for _, end := range []context.CancelFunc{endStop, endKill} {
			select {
			case <-received:
				end()
			case <-released:
				return
			}
		}
		select {
		case <-time.After(killGrace):
			os.Exit(ExitFailed)
		case <-released:
		}
	}()
	return Signals{Stop: stop, Kill: kill}, func() {
		signal.Stop(received)
		close(released)
		endStop()
		endKill()
	}
}
