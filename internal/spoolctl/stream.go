package spoolctl

import (
	"context"
	"errors"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

const (
	// readLimit is the maximum number of records of one read.
	readLimit = 256
	// readWait is how long a read at the head waits for the next record.
	readWait = time.Second
	// readTimeout is the time limit of an append, and that of a read beyond the
	// time that it may wait for a record.
	readTimeout = 5 * time.Second
	// retryPause is the time between two reads while the log fails or no
	// snapshot is found.
	retryPause = 250 * time.Millisecond
)

// configStream reads and appends to the configuration stream on behalf of one
// command. It is not safe for concurrent use.
type configStream struct {
	log platform.Log
	// timeout is how long the command waits for the log.
	timeout time.Duration

	reader document.Reader
	// decisions are those on all publications read so far.
	decisions []document.Decision
	// appendedAt is when the log appended each record read so far.
	appendedAt map[ident.Offset]time.Time
	// recordsExpired is set when records expired before they were read.
	recordsExpired bool
}

// readToHead reads all records that the log holds now.
func (s *configStream) readToHead(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	for {
		err := s.readBatch(ctx, 0)
		if err == nil && s.reader.AtHead() {
			return nil
		}
		if ctx.Err() != nil {
			return s.headError(err)
		}
		if err != nil || s.reader.Searching() {
			pause(ctx, retryPause)
		}
	}
}

// headError returns why the head was not reached in time. err is the error of the
// last read, or nil.
func (s *configStream) headError(err error) error {
	if s.reader.Searching() {
		return errcode.New(errcode.Unavailable,
			s.reader.Problem()+"; a controller that read them writes one within two minutes; "+
				"if none is left, see start-over")
	}
	return errcode.Wrap(errcode.Unavailable, err, "the configuration stream cannot be read")
}

// readBatch reads and applies one batch of records. It waits up to wait for a
// record if there is none.
func (s *configStream) readBatch(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	batch, err := s.log.Read(ctx, document.StreamName, s.reader.NextOffset(), readLimit, wait)
	if errors.Is(err, platform.ErrExpired) {
		s.reader.HandleExpired(batch.First)
		s.recordsExpired = true
		return nil
	}
	if err != nil {
		return err
	}
	if s.appendedAt == nil {
		s.appendedAt = map[ident.Offset]time.Time{}
	}
	for _, r := range batch.Records {
		s.appendedAt[r.Offset] = r.AppendedAt
	}
	s.decisions = append(s.decisions, s.reader.ApplyBatch(batch)...)
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
