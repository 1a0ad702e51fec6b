// Command rig-2 plays the scripts of the second review: it starts entry processes and runners
// as processes of their own on loopback, and serves the platform's store and API itself.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit statuses that review/N/run.sh passes on.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longest is how long a script may run.
const longest = 115 * time.Second

// scenario is a script.
type scenario struct {
	// pause is the time between two events of a stream.
	pause time.Duration
	// play returns what broke the rule; nothing if it held.
	play func(s *system, trouble bool) (broken []string, err error)
}

// cases are the scripts by name.
var cases = map[string]scenario{
	"killed-runner":    {40 * time.Millisecond, playKilledRunner},
	"extra-bytes":      {40 * time.Millisecond, playExtraBytes},
	"reclaimed-runner": {100 * time.Millisecond, playReclaimedRunner},
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		os.Exit(runRunner(os.Args[2:]))
	}
	os.Exit(runCase())
}

// runCase plays one case and returns the exit status.
func runCase() int {
	name := flag.String("case", "", "which script to play")
	entry := flag.String("entry", "target/entry", "the entry program")
	record := flag.String("record", "record.txt", "file to write what was sent, answered and run")
	flag.Parse()
	played, known := cases[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	s, err := startSystem(*entry, *record, played.pause)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-ended:
		case <-time.After(longest):
		}
		s.stop()
		os.Exit(exitNotRun)
	}()
	s.note("case %s, trouble %v, %s", *name, trouble, time.Now().UTC().Format(time.RFC3339))
	broken, err := played.play(s, trouble)
	s.stop()
	if err != nil {
		s.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	for _, line := range broken {
		s.note("BROKEN: %s", line)
		fmt.Println("BROKEN:", line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	s.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
