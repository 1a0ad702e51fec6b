package connectupstream_test

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/answer"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/plain"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream/connectupstream"
)

const plainIncarnation = 2

const callKey = "auktion-app/account-1/bid-1"

var bidRequest = upstream.InvokeRequest{Method: "bid", Key: callKey, Fence: 5, Payload: []byte("lot 17")}

// onEachPlain runs a contract test on the stand-in in memory and on the Connect adapter
// over a loopback socket.
func onEachPlain(t *testing.T, options plain.Options, test func(t *testing.T, fake *plain.Service, subject upstream.Plain)) {
	options.Instance, options.Incarnation = "plain-1", plainIncarnation
	t.Run("memory", func(t *testing.T) {
		fake := plain.New(options)
		test(t, fake, fake)
	})
	t.Run("connect", func(t *testing.T) {
		fake := plain.New(options)
		mux := http.NewServeMux()
		connectupstream.MountPlain(mux, fake)
		clients := connectupstream.NewClients(nil, nil)
		t.Cleanup(clients.Close)
		test(t, fake, connectupstream.NewPlain(clients, testkit.Serve(t, mux)))
	})
}

// The gateway decides by a failed call's error whether it may try another upstream. An
// error that says less or more than is known leads to a booking that is made twice, or
// to a caller that is told that its booking was not made although it was.
func TestPlainErrorsTellWhatHappened(t *testing.T) {
	cases := []struct {
		story   string
		prepare func(*plain.Service)
		// incarnation is the only one that may run the call; 0 allows any.
		incarnation ident.Incarnation
		want        error
		ran         bool
		effects     int
	}{
		{"leaving", func(s *plain.Service) { s.SetLeaving(true) }, 2, upstream.ErrLeaving, false, 0},
		{"old fencing number", func(s *plain.Service) { _, _ = s.Find(context.Background(), callKey, 6) }, 0, upstream.ErrOldFence, false, 0},
		{"another life of the instance", func(*plain.Service) {}, 1, upstream.ErrRefused, false, 0},
		{"connection lost before the effect", func(s *plain.Service) { s.FailNext(plain.LostBeforeEffect) }, 2, nil, true, 0},
		{"connection lost after the effect", func(s *plain.Service) { s.FailNext(plain.LostAfterEffect) }, 0, nil, true, 1},
	}
	for _, c := range cases {
		t.Run(c.story, func(t *testing.T) {
			options := plain.Options{ChecksFencing: true, FindsOutcomes: true}
			onEachPlain(t, options, func(t *testing.T, fake *plain.Service, subject upstream.Plain) {
				c.prepare(fake)
				call := bidRequest
				call.Incarnation = c.incarnation
				_, err := subject.Invoke(t.Context(), call)
				if err == nil || (c.want != nil && !errors.Is(err, c.want)) {
					t.Errorf("got %v, want %v", err, c.want)
				}
				if upstream.MayHaveRun(err) != c.ran {
					t.Errorf("Ran(%v) = %v", err, !c.ran)
				}
				if got := fake.Effects(callKey); got != c.effects {
					t.Errorf("%d effects, want %d", got, c.effects)
				}
			})
		})
	}
}

func TestPlainAnswers(t *testing.T) {
	onEachPlain(t, plain.Options{}, func(t *testing.T, fake *plain.Service, subject upstream.Plain) {
		fake.FailNext(plain.NoFailure, plain.ApplicationError)
		for _, failed := range []bool{false, true} {
			got, err := subject.Invoke(t.Context(), bidRequest)
			want := upstream.Answer{Payload: answer.Reply(bidRequest.Method, bidRequest.Payload), Failed: failed}
			if err != nil || !cmp.Equal(got, want) {
				t.Errorf("got %+v, %v, want %+v", got, err, want)
			}
		}
		if got := fake.Effects(callKey); got != 2 {
			t.Errorf("two calls with one key had %d effects, want 2: the fake must count both", got)
		}
		fake.SetLeaving(true)
		health, err := subject.Health(t.Context())
		want := upstream.Health{Instance: "plain-1", Incarnation: plainIncarnation, Leaving: true}
		if err != nil || health != want {
			t.Errorf("health %+v, %v, want %+v", health, err, want)
		}
	})
}

// A call that was accepted before its context ended may take effect later. An adapter
// that takes the end of its own context for the end of the call would report it as not
// run.
func TestPlainCallGoesOnWhenItsCallerGivesUp(t *testing.T) {
	onEachPlain(t, plain.Options{FindsOutcomes: true}, func(t *testing.T, fake *plain.Service, subject upstream.Plain) {
		fake.SetDelays(plain.Delays{BeforeEffect: 10 * shortTimeout})
		ctx, cancel := context.WithCancel(t.Context())
		failed := make(chan error, 1)
		go func() {
			_, err := subject.Invoke(ctx, bidRequest)
			failed <- err
		}()
		awaitRunning(t, subject)
		cancel()
		if err := <-failed; !upstream.MayHaveRun(err) || !errors.Is(err, context.Canceled) {
			t.Errorf("got %v; the call may have run", err)
		}
		if err := fake.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := fake.Effects(callKey); got != 1 {
			t.Errorf("%d effects, want 1", got)
		}
	})
}

// awaitRunning returns once the service reports the call of the key.
func awaitRunning(t *testing.T, subject upstream.Plain) {
	t.Helper()
	for {
		found, err := subject.Find(t.Context(), callKey, 0)
		if err != nil {
			t.Fatal(err)
		}
		if found.State != upstream.Absent {
			return
		}
	}
}

func TestPlainNothingSentIsCertain(t *testing.T) {
	onEachPlain(t, plain.Options{}, func(t *testing.T, fake *plain.Service, subject upstream.Plain) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := subject.Invoke(ctx, bidRequest)
		if !errors.Is(err, upstream.ErrNotSent) {
			t.Errorf("got %v, want ErrNotSent", err)
		}
		if got := fake.Effects(callKey); got != 0 {
			t.Errorf("%d effects", got)
		}
	})
}

func TestPlainFindsOutcomesAndFences(t *testing.T) {
	type want struct {
		found upstream.FindResult
		err   error
		// late is the error of a call with the old fencing number that arrives after
		// Find.
		late error
	}
	done := upstream.Answer{Payload: answer.Reply(bidRequest.Method, bidRequest.Payload)}
	cases := []struct {
		story   string
		options plain.Options
		invoked bool
		want    want
	}{
		{"nothing known, fences checked", plain.Options{ChecksFencing: true, FindsOutcomes: true}, false,
			want{upstream.FindResult{State: upstream.Absent, Fenced: true, Incarnation: plainIncarnation}, nil, upstream.ErrOldFence}},
		{"nothing known, fences ignored", plain.Options{FindsOutcomes: true}, false,
			want{upstream.FindResult{State: upstream.Absent, Incarnation: plainIncarnation}, nil, nil}},
		{"call done", plain.Options{ChecksFencing: true, FindsOutcomes: true}, true,
			want{upstream.FindResult{State: upstream.Done, Answer: done, Fenced: true, Incarnation: plainIncarnation}, nil, upstream.ErrOldFence}},
		{"cannot tell outcomes", plain.Options{ChecksFencing: true}, false,
			want{upstream.FindResult{}, upstream.ErrRefused, nil}},
	}
	for _, c := range cases {
		t.Run(c.story, func(t *testing.T) {
			onEachPlain(t, c.options, func(t *testing.T, _ *plain.Service, subject upstream.Plain) {
				if c.invoked {
					if _, err := subject.Invoke(t.Context(), bidRequest); err != nil {
						t.Fatal(err)
					}
				}
				found, err := subject.Find(t.Context(), callKey, bidRequest.Fence+1)
				if !errors.Is(err, c.want.err) || !cmp.Equal(found, c.want.found) {
					t.Errorf("got %+v, %v, want %+v, %v", found, err, c.want.found, c.want.err)
				}
				if _, err := subject.Invoke(t.Context(), bidRequest); !errors.Is(err, c.want.late) {
					t.Errorf("a late call: got %v, want %v", err, c.want.late)
				}
				higher := bidRequest
				higher.Fence = ident.Fence(bidRequest.Fence + 2)
				if _, err := subject.Invoke(t.Context(), higher); err != nil {
					t.Errorf("a higher fencing number: %v", err)
				}
			})
		})
	}
}
