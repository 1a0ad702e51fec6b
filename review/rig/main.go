// Command rig plays the cases of the review: it starts the project's entry processes beside stand-ins of the
// platform, runners and clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const apiKey = "i9n73hh2b9wu3fexd9dn"

// plays are the cases by name; each file of a case adds its own.
var plays = map[string]func(*Case){}

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "rig runner SPEC | rig CASE FOLDER")
		os.Exit(2)
	}
	if os.Args[1] == "runner" {
		runRunner(os.Args[2])
		return
	}
	play := plays[os.Args[1]]
	if play == nil {
		cannot("no case %s", os.Args[1])
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		cannot("%v", err)
	}
	repo, err := os.Getwd()
	if err != nil {
		cannot("%v", err)
	}
	if _, err := os.Stat(filepath.Join(repo, "target/entry")); err != nil {
		cannot("target/entry is not built: %v", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		cannot("%v", err)
	}
	c := &Case{Repo: repo, Dir: dir, Trouble: os.Getenv("TROUBLE") != "0", Record: newRecord(filepath.Join(folder, "record.txt"))}
	// Whatever happens, no process is left behind.
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case s := <-stopped:
			cannot("stopped by %v", s)
		case <-time.After(115 * time.Second):
			cannot("it took too long")
		}
	}()
	play(c)
	endAll()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(dir)
	} else {
		fmt.Println("logs:", dir)
	}
	if c.Broken {
		fmt.Println("broken:", c.Verdict)
		os.Exit(1)
	}
	fmt.Println("held:", c.Verdict)
}

// Case is one play.
type Case struct {
	Repo, Dir string
	Trouble   bool
	Record    *Record
	Broken    bool
	Verdict   string
}

// End records the verdict.
func (c *Case) End(broken bool, format string, a ...any) {
	c.Broken, c.Verdict = broken, fmt.Sprintf(format, a...)
	word := "held"
	if broken {
		word = "BROKEN"
	}
	c.Record.Line("%s: %s", word, c.Verdict)
}
