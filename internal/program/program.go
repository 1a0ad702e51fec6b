// Package program is the common frame of the daemons: command line, settings
// check, signals and exit status.
package program

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

// The exit statuses of every program.
const (
	ExitOK = 0
	// ExitFailed: the program ran and failed.
	ExitFailed = 1
	// ExitUsage: bad command line or settings.
	ExitUsage = 2
)

// killGrace is how long a program has after the second signal to log what it
// cuts off.
const killGrace = 500 * time.Millisecond

// Signals tell a running program to stop. Stop ends at the first SIGTERM or
// SIGINT: stop gracefully. Kill ends at the second one: return at once.
type Signals struct {
	Stop context.Context
	Kill context.Context
}

// Daemon is a program that runs until it is told to stop.
type Daemon[S any] struct {
	Name        string
	Description string
	// DefaultSettings is the settings file where the command line names none;
	// empty where it must.
	DefaultSettings string
	// Load reads the settings file.
	Load func(path string) (*S, finding.List)
	// Run works until signals.Stop ends, then stops gracefully.
	Run func(signals Signals, settings *S) error
}

// arguments are the command line of every daemon.
type arguments struct {
	Settings      string `arg:"--settings" placeholder:"FILE" help:"settings of this process (TOML)"`
	CheckSettings bool   `arg:"--check-settings" help:"check the settings, print all findings and exit: 0 good, 2 bad"`

	name, description string
}

// Description is the text above the options in --help.
func (a arguments) Description() string { return a.description }

// Version is what --version prints.
func (a arguments) Version() string { return a.name + " " + Version() }

// Version returns the version that the Go toolchain stamped into the binary.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version + " " + info.GoVersion
}

// Main runs the daemon with the process's command line and returns its exit
// status.
func (d Daemon[S]) Main() int { return d.main(os.Args[1:], os.Stdout, os.Stderr) }

func (d Daemon[S]) main(args []string, stdout, stderr io.Writer) int {
	parsed := arguments{name: d.Name, description: d.Description}
	parsed.Settings = d.DefaultSettings
	status, done := parse(&parsed, d.Name, args, stdout, stderr)
	if done {
		return status
	}
	settings, findings := d.Load(parsed.Settings)
	if err := findings.Err(); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	if parsed.CheckSettings {
		fmt.Fprintln(stdout, parsed.Settings+": good")
		return ExitOK
	}
	if err := d.run(settings); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", d.Name, err)
		return ExitFailed
	}
	return ExitOK
}

// parse fills parsed. It reports done when the command line asks for nothing
// more, or is wrong.
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

func (d Daemon[S]) run(settings *S) error {
	signals, release := watchSignals()
	defer release()
	return d.Run(signals, settings)
}

// watchSignals ends Stop at the first signal and Kill at the second. If the
// program has not returned killGrace after the second, it is ended, so that a
// stuck stop cannot outlive an operator's patience.
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
