package daemon

import (
	"bytes"
	"errors"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/goldcrestspool/goldcrestspool/internal/finding"
)

// testSettings are the settings of a test daemon.
type testSettings struct{ path string }

// load returns two findings for any file but "good.toml".
func load(path string) (*testSettings, finding.List) {
	if path == "good.toml" {
		return &testSettings{path: path}, nil
	}
	var found finding.List
	found.Add(finding.Finding{File: path, Line: 1, Column: 1, Key: "first", Problem: "is missing", Want: "a name"})
	found.Add(finding.Finding{File: path, Line: 2, Column: 1, Key: "second", Problem: "is zero", Want: "more than 0"})
	return nil, found
}

func TestExitStatuses(t *testing.T) {
	cases := map[string]struct {
		args   []string
		fails  error
		status int
		// runs tells whether Run is called.
		runs           bool
		stdout, stderr []string
	}{
		"it runs and stops":           {args: []string{"--settings", "good.toml"}, status: ExitOK, runs: true},
		"it runs and fails":           {args: []string{"--settings=good.toml"}, fails: errors.New("no port"), status: ExitFailed, runs: true, stderr: []string{"daemon: no port"}},
		"help":                        {args: []string{"--help"}, status: ExitOK, stdout: []string{"serves tests", "--settings", "--check-settings", "--version"}},
		"version":                     {args: []string{"--version"}, status: ExitOK, stdout: []string{"daemon "}},
		"good settings are checked":   {args: []string{"--settings", "good.toml", "--check-settings"}, status: ExitOK, stdout: []string{"good.toml: good"}},
		"all faults are told at once": {args: []string{"--settings", "bad.toml", "--check-settings"}, status: ExitUsage, stderr: []string{"bad.toml:1:1", "first", "bad.toml:2:1", "second"}},
		"bad settings do not run":     {args: []string{"--settings", "bad.toml"}, status: ExitUsage, stderr: []string{"bad.toml:1:1"}},
		"no settings":                 {args: nil, status: ExitUsage, stderr: []string{"Usage", "--settings"}},
		"an unknown option":           {args: []string{"--settings", "good.toml", "--port", "1"}, status: ExitUsage, stderr: []string{"Usage", "--port"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ran := false
			p := Program[testSettings]{Name: "daemon", Description: "daemon serves tests.", Load: load,
				Run: func(_ Signals, s *testSettings) error {
					ran = s.path == "good.toml"
					return c.fails
				}}
			var stdout, stderr bytes.Buffer
			if got := p.main(c.args, &stdout, &stderr); got != c.status {
				t.Errorf("exit status %d, want %d", got, c.status)
			}
			if ran != c.runs {
				t.Errorf("ran %v, want %v", ran, c.runs)
			}
			expect(t, "stdout", stdout.String(), c.stdout)
			expect(t, "stderr", stderr.String(), c.stderr)
		})
	}
}

// expect checks that a text contains all parts, and is empty if there are none.
func expect(t *testing.T, where, text string, parts []string) {
	t.Helper()
	if len(parts) == 0 && text != "" {
		t.Errorf("%s: %s", where, text)
	}
	for _, part := range parts {
		if !strings.Contains(text, part) {
			t.Errorf("%s lacks %q: %s", where, part, text)
		}
	}
}

// TestSignals checks that the first signal ends only Stop, and the second one Kill.
func TestSignals(t *testing.T) {
	for _, kind := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
		signals, release := watchSignals()
		raise(t, kind)
		<-signals.Stop.Done()
		if signals.Kill.Err() != nil {
			t.Errorf("%v: the first signal cut the stop short", kind)
		}
		raise(t, kind)
		<-signals.Kill.Done()
		release()
	}
}

func raise(t *testing.T, kind syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), kind); err != nil {
		t.Fatal(err)
	}
}
