package engine

import (
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/prompt"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/answer"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

const dossier = "dossier on a catalogue lot: "

func request(id string, tokens uint32) upstream.GenerateRequest {
	text := strings.Repeat(dossier, 64)
	return upstream.GenerateRequest{Request: ident.Request(id), Attempt: 1, Prompt: text + id, MaxTokens: tokens}
}

// collect reads a stream to its end and checks the order and content of its tokens.
// It returns the number of prefilled tokens and the time that it took.
func collect(t *testing.T, s upstream.TokenStream, req upstream.GenerateRequest) (prefilled uint32, took time.Duration) {
	t.Helper()
	began := time.Now()
	index := len(req.Delivered)
	for {
		f, err := s.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		for _, token := range f.Tokens {
			if want := answer.Token(req.Prompt, index); token != want {
				t.Fatalf("token %d is %q, want %q", index, token, want)
			}
			index++
		}
		prefilled += f.PrefilledTokens
	}
	if index != int(req.MaxTokens) {
		t.Fatalf("got %d tokens, want %d", index, req.MaxTokens)
	}
	return prefilled, time.Since(began)
}

func TestEngineCachesPrefixesAndResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Config{Instance: "hall-a-1", Parameters: DefaultParameters()})
		defer e.Close()
		req := request("first", 20)
		s, err := e.Generate(context.Background(), req)
		if err != nil {
			t.Fatal(err)
		}
		cold, _ := collect(t, s, req)
		if want := uint32(prompt.Tokens(req.Prompt)); cold != want {
			t.Errorf("cold prompt prefilled %d tokens, want all %d", cold, want)
		}
		again := request("again", 20)
		for i := range 5 {
			again.Delivered = append(again.Delivered, answer.Token(again.Prompt, i))
		}
		s, err = e.Generate(context.Background(), again)
		if err != nil {
			t.Fatal(err)
		}
		warm, _ := collect(t, s, again)
		shared := len(prompt.Blocks(strings.Repeat(dossier, 64))) * prompt.BlockTokens
		if want := uint32(prompt.Tokens(again.Prompt) + 5 - shared); warm != want {
			t.Errorf("warm prompt prefilled %d tokens, want %d", warm, want)
		}
	})
}

func TestEngineRefusesWhileLeavingAndLosesStreamsAtItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Config{Parameters: DefaultParameters()})
		req := request("long", 5000)
		s, err := e.Generate(context.Background(), req)
		if err != nil {
			t.Fatal(err)
		}
		e.Leave()
		if _, err := e.Generate(context.Background(), request("late", 5)); !errors.Is(err, upstream.ErrLeaving) {
			t.Errorf("a leaving engine answered %v, want ErrLeaving", err)
		}
		time.Sleep(5 * time.Second)
		cache, err := e.ExportCache(context.Background(), req.Request)
		if err != nil || len(cache) == 0 {
			t.Errorf("export gave %d bytes and %v", len(cache), err)
		}
		e.Close()
		for err == nil {
			_, err = s.Next()
		}
		if !errors.Is(err, ErrEnded) || !upstream.MayHaveRun(err) {
			t.Errorf("the stream ended with %v, want ErrEnded", err)
		}
	})
}

func TestModelSharesItsStepsAmongStreams(t *testing.T) {
	p := DefaultParameters()
	one := tokenTime(p, 1)
	many := tokenTime(p, p.MaxRunning)
	if want := one + time.Duration(p.MaxRunning-1)*p.StepPerStream; many != want {
		t.Errorf("inter-token time in a full batch is %v, want %v", many, want)
	}
}

// tokenTime returns the duration of a step in which n streams decode.
func tokenTime(p Parameters, n int) time.Duration {
	m := NewModel(p)
	now := time.Unix(0, 0)
	for i := range n {
		id := ident.Request(strconv.Itoa(i))
		_ = m.Submit(now, Attempt{ID: id, ContextTokens: 8, OutputTokens: 100})
	}
	var d time.Duration
	const untilAllDecode = 6
	for range untilAllDecode {
		_, d = m.Step(now, nil)
		now = now.Add(d)
	}
	return d
}
