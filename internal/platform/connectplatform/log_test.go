package connectplatform_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/fault"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/logstore"
)

const stream = "calls/0"

func records(texts ...string) [][]byte {
	var list [][]byte
	for _, text := range texts {
		list = append(list, []byte(text))
	}
	return list
}

// contents returns the records in the stream, without waiting.
func contents(t *testing.T, log platform.Log) []string {
	t.Helper()
	batch, err := log.Read(t.Context(), stream, 0, 1000, 0)
	if err != nil {
		t.Fatal(err)
	}
	var texts []string
	for i, r := range batch.Records {
		if r.Offset != ident.Offset(i) {
			t.Errorf("record %d has offset %d", i, r.Offset)
		}
		texts = append(texts, string(r.Data))
	}
	if batch.Head != ident.Offset(len(texts)) {
		t.Errorf("head %d after %d records", batch.Head, len(texts))
	}
	return texts
}

func TestLogKeepsTheRecordsOfAnAppendTogether(t *testing.T) {
	onEachImplementation(t, func(t *testing.T, s subject) {
		var group sync.WaitGroup
		for writer := range 8 {
			group.Go(func() {
				text := fmt.Sprint(writer)
				if _, err := s.Log.Append(t.Context(), stream, records(text, text, text)); err != nil {
					t.Error(err)
				}
			})
		}
		group.Wait()
		texts := contents(t, s.Log)
		if len(texts) != 24 {
			t.Fatalf("%d records, want 24", len(texts))
		}
		for i := 0; i < len(texts); i += 3 {
			if texts[i] != texts[i+1] || texts[i] != texts[i+2] {
				t.Errorf("the records of an append are not adjacent: %v", texts[i:i+3])
			}
		}
	})
}

func TestLogReadsFromAnOffsetUpToALimit(t *testing.T) {
	onEachImplementation(t, func(t *testing.T, s subject) {
		first, err := s.Log.Append(t.Context(), stream, records("a", "b", "c", "d"))
		if err != nil || first != 0 {
			t.Fatalf("first append: offset %d, %v", first, err)
		}
		batch, err := s.Log.Read(t.Context(), stream, 1, 2, 0)
		if err != nil {
			t.Fatal(err)
		}
		if len(batch.Records) != 2 || string(batch.Records[0].Data) != "b" || batch.Head != 4 {
			t.Errorf("got %+v", batch)
		}
	})
}

func TestLogReadWaitsForTheNextRecord(t *testing.T) {
	onEachImplementation(t, func(t *testing.T, s subject) {
		var group sync.WaitGroup
		group.Go(func() {
			if _, err := s.Log.Append(t.Context(), stream, records("late")); err != nil {
				t.Error(err)
			}
		})
		batch, err := s.Log.Read(t.Context(), stream, 0, 10, testTimeout)
		if err != nil || len(batch.Records) != 1 {
			t.Errorf("got %+v, %v", batch, err)
		}
		group.Wait()
		empty, err := s.Log.Read(t.Context(), stream, 1, 10, 1)
		if err != nil || len(empty.Records) != 0 || empty.Head != 1 {
			t.Errorf("at the head: got %+v, %v", empty, err)
		}
	})
}

func TestLogTellsExpiredRecords(t *testing.T) {
	onEachImplementation(t, func(t *testing.T, s subject) {
		if _, err := s.Log.Append(t.Context(), stream, records("a", "b", "c")); err != nil {
			t.Fatal(err)
		}
		s.log.Expire(stream, 2)
		batch, err := s.Log.Read(t.Context(), stream, 1, 10, testTimeout)
		if !errors.Is(err, platform.ErrExpired) {
			t.Fatalf("got %v, want ErrExpired", err)
		}
		if want := (platform.Batch{First: 2, Head: 3}); !cmp.Equal(batch, want) {
			t.Errorf("got %+v, want %+v", batch, want)
		}
	})
}

// A writer acts on the error of its append. An adapter that takes a lost answer for a
// refusal, or the reverse, leads to a record that is in the log twice, or to one that
// is in the log although it was reported as refused.
func TestLogAppendErrorsTellWhatHappened(t *testing.T) {
	cases := []struct {
		story  string
		inject func(*fault.Injector)
		want   error
		// after is the contents of the log once the fault is over.
		after []string
	}{
		{"outage", func(i *fault.Injector) { i.SetOutage(true) }, platform.ErrUnavailable, nil},
		{"request lost", func(i *fault.Injector) { i.LoseNext(fault.BeforeEffect) }, platform.ErrAnswerLost, nil},
		{"answer lost", func(i *fault.Injector) { i.LoseNext(fault.AfterEffect) }, platform.ErrAnswerLost, []string{"x"}},
		{"effect after the answer was lost", func(i *fault.Injector) { i.LoseNext(fault.Late) }, platform.ErrAnswerLost, []string{"x"}},
	}
	for _, c := range cases {
		t.Run(c.story, func(t *testing.T) {
			onEachImplementation(t, func(t *testing.T, s subject) {
				c.inject(&s.log.Injector)
				_, err := s.Log.Append(t.Context(), stream, records("x"))
				if !errors.Is(err, c.want) {
					t.Errorf("got %v, want %v", err, c.want)
				}
				s.log.SetOutage(false)
				if len(c.after) > 0 {
					if _, err := s.Log.Read(t.Context(), stream, 0, 1, testTimeout); err != nil {
						t.Error(err)
					}
				}
				if got := contents(t, s.Log); !cmp.Equal(got, c.after) {
					t.Errorf("the log holds %v, want %v", got, c.after)
				}
			})
		})
	}
}

// An outage must end a read that waits at the head. If only new appends woke it, the
// reader would hang for the whole wait although the log is down.
func TestLogOutageEndsAWaitingRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logstore.New(logstore.Options{})
		failed := make(chan error, 1)
		go func() {
			_, err := log.Read(t.Context(), stream, 0, 1, testTimeout)
			failed <- err
		}()
		synctest.Wait()
		log.SetOutage(true)
		if err := <-failed; !errors.Is(err, platform.ErrUnavailable) {
			t.Errorf("got %v, want ErrUnavailable", err)
		}
	})
}

func TestLogRequestsEndWithTheirContext(t *testing.T) {
	onEachImplementation(t, func(t *testing.T, s subject) {
		ctx, cancel := context.WithCancel(t.Context())
		failed := make(chan error, 1)
		go func() {
			_, err := s.Log.Read(ctx, stream, 0, 1, testTimeout)
			failed <- err
		}()
		cancel()
		if err := <-failed; !errors.Is(err, context.Canceled) {
			t.Errorf("read: got %v, want context.Canceled", err)
		}
		_, err := s.Log.Append(ctx, stream, records("x"))
		if !errors.Is(err, platform.ErrUnavailable) {
			t.Errorf("append that was never sent: got %v, want ErrUnavailable", err)
		}
		if got := contents(t, s.Log); got != nil {
			t.Errorf("the log holds %v", got)
		}
	})
}
