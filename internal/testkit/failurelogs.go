package testkit

import (
	"bytes"
	"io"
	"os"
	"strings"
	"sync"
	"testing"
)

// FailureLogs returns a directory for the output of a test's processes. If the test fails, the
// directory is kept and its path printed.
func FailureLogs(t testing.TB) string {
	t.Helper()
	dir, err := os.MkdirTemp("", strings.ReplaceAll(t.Name(), "/", "_")+"-")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("the processes' output is kept in %s", dir)
			return
		}
		if err := os.RemoveAll(dir); err != nil {
			t.Log(err)
		}
	})
	return dir
}

// ProcessOutput is a writer for a process's standard output. It keeps all of it in a file, together
// with the standard error, and passes the first line on. It is safe for concurrent use.
type ProcessOutput struct {
	mu        sync.Mutex
	file      *os.File
	line      bytes.Buffer
	firstLine chan []byte
}

// NewProcessOutput returns a writer to a new file in dir.
func NewProcessOutput(t testing.TB, dir, name string) *ProcessOutput {
	t.Helper()
	file, err := os.CreateTemp(dir, strings.ReplaceAll(name, "/", "_")+"-*.log")
	if err != nil {
		t.Fatal(err)
	}
	return &ProcessOutput{file: file, firstLine: make(chan []byte, 1)}
}

// Write implements io.Writer.
func (o *ProcessOutput) Write(data []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.firstLine != nil {
		o.line.Write(data)
		if line, _, complete := bytes.Cut(o.line.Bytes(), []byte("\n")); complete {
			o.firstLine <- bytes.Clone(line)
			o.firstLine = nil
		}
	}
	return o.file.Write(data)
}

// Stderr returns a writer for the process's standard error.
func (o *ProcessOutput) Stderr() io.Writer { return stderrWriter{o} }

// stderrWriter writes to the file of a ProcessOutput.
type stderrWriter struct{ output *ProcessOutput }

// Write implements io.Writer.
func (w stderrWriter) Write(data []byte) (int, error) {
	w.output.mu.Lock()
	defer w.output.mu.Unlock()
	return w.output.file.Write(data)
}

// FirstLine returns a channel that receives the first line of the standard output. Call it before the process starts.
func (o *ProcessOutput) FirstLine() <-chan []byte { return o.firstLine }

// Close closes the file.
func (o *ProcessOutput) Close() error { return o.file.Close() }
