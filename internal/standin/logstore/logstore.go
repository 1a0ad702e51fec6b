// Package logstore is an in-memory stand-in for the platform's log.
package logstore

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/fault"
)

// Options are the limits of a Log.
type Options struct {
	// MaxRecords is the number of newest records that a stream keeps; 0 keeps
	// all.
	MaxRecords int
	// AppendsPerSecond limits the appends to all streams together; 0 means no
	// limit.
	AppendsPerSecond float64
}

// Log is a platform.Log in memory. Its embedded Injector makes it fail.
type Log struct {
	fault.Injector

	options Options
	limiter *rate.Limiter

	mu      sync.Mutex
	streams map[string]*stream
	appends int
}

// stream holds the records of one stream that have not expired.
type stream struct {
	// first is the offset of the first record.
	first   ident.Offset
	records []platform.Record
	// appended is closed at the next append; nil while nobody waits for it.
	appended chan struct{}
}

var _ platform.Log = (*Log)(nil)

// New returns an empty log.
func New(options Options) *Log {
	log := &Log{options: options, streams: make(map[string]*stream)}
	if options.AppendsPerSecond > 0 {
		log.limiter = rate.NewLimiter(rate.Limit(options.AppendsPerSecond), 1)
	}
	return log
}

// Append implements platform.Log.
func (l *Log) Append(ctx context.Context, name string, records [][]byte) (ident.Offset, error) {
	if err := l.Begin(ctx); err != nil {
		return 0, err
	}
	if l.limiter != nil {
		if err := l.limiter.Wait(ctx); err != nil {
			return 0, fault.UnavailableError(err)
		}
	}
	copies := cloneRecords(records)
	var first ident.Offset
	err := l.Run(func() error {
		first = l.appendRecords(name, copies)
		return nil
	})
	if err != nil {
		return 0, err
	}
	return first, nil
}

// Read implements platform.Log.
func (l *Log) Read(
	ctx context.Context, name string, from ident.Offset, limit int, wait time.Duration,
) (platform.Batch, error) {
	if err := l.Begin(ctx); err != nil {
		return platform.Batch{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		outageChanged := l.OutageChanged()
		if l.OutageOn() {
			return platform.Batch{}, platform.ErrUnavailable
		}
		batch, appended, err := l.read(name, from, limit)
		if err != nil || len(batch.Records) > 0 || wait <= 0 {
			return batch, err
		}
		select {
		case <-appended:
		case <-outageChanged:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return platform.Batch{}, fault.UnavailableError(ctx.Err())
		}
	}
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Expire drops all records of a stream before an offset.
func (l *Log) Expire(name string, before ident.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stream(name).dropBefore(before)
}

func (l *Log) appendRecords(name string, records [][]byte) ident.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	first := s.head()
	now := time.Now()
	for _, data := range records {
		s.records = append(s.records, platform.Record{Offset: s.head(), Data: data, AppendedAt: now})
	}
	l.appends++
	if kept := ident.Offset(l.options.MaxRecords); kept > 0 && s.head() > kept {
		s.dropBefore(s.head() - kept)
	}
	if s.appended != nil {
		close(s.appended)
		s.appended = nil
	}
	return first
}

// read returns up to limit records without waiting, and a channel that is closed at
// the next append.
func (l *Log) read(name string, from ident.Offset, limit int) (platform.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	batch := platform.Batch{Head: s.head(), First: s.first}
	if from < s.first {
		return batch, nil, platform.ErrExpired
	}
	if from < s.head() {
		rest := s.records[from-s.first:]
		batch.Records = slices.Clone(rest[:min(limit, len(rest))])
	}
	if s.appended == nil {
		s.appended = make(chan struct{})
	}
	return batch, s.appended, nil
}

// stream returns a stream, which it creates if needed. The caller holds l.mu.
func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{}
		l.streams[name] = s
	}
	return s
}

// head returns the offset of the next record to be appended.
func (s *stream) head() ident.Offset { return s.first + ident.Offset(len(s.records)) }

func (s *stream) dropBefore(before ident.Offset) {
	if before <= s.first {
		return
	}
	before = min(before, s.head())
	s.records = slices.Clone(s.records[before-s.first:])
	s.first = before
}

func cloneRecords(records [][]byte) [][]byte {
	copies := make([][]byte, len(records))
	for i, data := range records {
		copies[i] = slices.Clone(data)
	}
	return copies
}
