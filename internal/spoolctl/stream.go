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
	// readLimit bounds the records of one read.
	readLimit = 256
	// readWait is how long a read waits for a record at the head.
	readWait = time.Second
	// readTimeout is added to readWait.
	readTimeout = 5 * time.Second
	// retryPause is the time between two tries while the log fails.
	retryPause = 250 * time.Millisecond
)

// configStream is the configuration stream as one command reads it.
type configStream struct {
	log      platform.Log
	timeout time.Duration

	reader    document.Reader
	decisions []document.Decision
	// appendedAt is the log's time of each record read.
	appendedAt map[ident.Offset]time.Time
	// skipped: records expired before they were read.
	recordsExpired bool
}

// readToHead reads all records that the log has now.
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

// headError says why the head was not reached.
func (s *configStream) headError(err error) error {
	if s.reader.Searching() {
		return errcode.New(errcode.Unavailable,
			s.reader.Problem()+"; a controller that read them writes one within two minutes; "+
				"if none is left, see start-over")
	}
	return errcode.Wrap(errcode.Unavailable, err, "the configuration stream cannot be read")
}

// readBatch folds one batch.
func (s *configStream) readBatch(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	batch, err := s.log.Read(ctx, document.StreamName, s.reader.From(), readLimit, wait)
	if errors.Is(err, platform.ErrExpired) {
		s.reader.Expired(batch.First)
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
	s.decisions = append(s.decisions, s.reader.Take(batch)...)
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
