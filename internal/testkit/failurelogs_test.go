package testkit

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// Guards against a test that waits for a process at no address: the process had written a line to its
// standard error before it wrote to its standard output where it listens.
func TestTheFirstLineIsOneOfStandardOutput(t *testing.T) {
	dir := t.TempDir()
	output := NewProcessOutput(t, dir, "p")
	firstLine := output.FirstLine()
	fmt.Fprintln(output.Stderr(), "an error")
	fmt.Fprint(output, "list")
	fmt.Fprintln(output.Stderr(), "another")
	fmt.Fprint(output, "ening\nmore\n")
	if line := string(<-firstLine); line != "listening" {
		t.Errorf("the first line is %q", line)
	}
	if err := output.Close(); err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil || len(files) != 1 {
		t.Fatalf("files %v, error %v", files, err)
	}
	kept, err := os.ReadFile(files[0])
	if want := "an error\nlistanother\nening\nmore\n"; err != nil || string(kept) != want {
		t.Errorf("kept %q, want %q", kept, want)
	}
}
