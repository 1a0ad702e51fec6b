package command

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/loadgen"
)

// isTerminal reports whether the file is a terminal.
func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// showProgress updates a progress line on out until the returned function is
// called.
func showProgress(run *loadgen.Run, total int, out io.Writer) (stop func()) {
	quit := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				fmt.Fprint(out, "\r", progressLine(run.Progress(), total), "\x1b[K")
			case <-quit:
				fmt.Fprint(out, "\r\x1b[K")
				return
			}
		}
	}()
	return func() {
		close(quit)
		<-ended
	}
}

func progressLine(p loadgen.Progress, total int) string {
	text := fmt.Sprintf("%4.0fs  sent %d/%d  in flight %d", p.Elapsed.Seconds(), p.Started, total, p.Started-p.Ended)
	for _, verdict := range loadgen.Verdicts {
		if count := p.Verdicts[verdict]; count > 0 {
			text += fmt.Sprintf("  %s %d", verdict, count)
		}
	}
	return text
}
