package transport

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/answerbudget"
	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

func init() { testkit.FixSeed() }

func newAnswerBudget(bytes int64) *answerbudget.Budget {
	return answerbudget.New(answerbudget.Config{Now: boottime.Now, Log: hclog.NewNullLogger(), Limits: answerbudget.Limits{Bytes: bytes, Waiting: 8}})
}

// get sends a request and reads the answer to its end.
func get(ctx context.Context, client *http.Client, url string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }() // read to its end
	data, err := io.ReadAll(resp.Body)
	return len(data), err
}

// eventuallyNothing waits until nothing is held of a budget.
func eventuallyNothing(t *testing.T, b *answerbudget.Budget) {
	t.Helper()
	for range 1000 {
		if b.State().Bytes == 0 {
			return
		}
		<-time.After(time.Millisecond)
	}
	t.Errorf("still held: %+v", b.State())
}

// Guards against a decoded answer that is in no bound any more while its caller takes it.
func TestAnAnswerIsHeldUntilItsCallerIsAnswered(t *testing.T) {
	const length = 100 << 10
	url := testkit.Serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, strings.Repeat("x", length)) }))
	b := newAnswerBudget(1 << 20)
	client := NewClient(Options{Answers: b})
	ctx, holder := answerbudget.WithHolder(t.Context())
	for _, ctx := range []context.Context{t.Context(), ctx} {
		if n, err := get(ctx, client, url); n != length || err != nil {
			t.Fatal(n, err)
		}
	}
	if held := b.State().Bytes; held != length {
		t.Errorf("%d bytes are held, want those of the answer whose caller was not answered yet", held)
	}
	holder.End()
	if held := b.State().Bytes; held != 0 {
		t.Errorf("%d bytes are held after the end", held)
	}
	if _, err := get(ctx, client, url); err != nil { // it outlives its caller
		t.Fatal(err)
	}
	eventuallyNothing(t, b)
}

// Guards against room that a stream keeps after its end.
func TestAStreamIsNotHeldAfterItsEnd(t *testing.T) {
	url := testkit.Serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/connect+proto")
		_, _ = w.Write(append([]byte{0, 0, 1, 0, 0}, make([]byte, 60<<10)...)) // a message that stops short
	}))
	b := newAnswerBudget(1 << 20)
	ctx, holder := answerbudget.WithHolder(t.Context())
	defer holder.End()
	if _, err := get(ctx, NewClient(Options{Answers: b}), url); err != nil {
		t.Fatal(err)
	}
	eventuallyNothing(t, b)
}

// Guards against answers without end that a library reads into its memory, in the body or in the head, in plaintext and
// over TLS.
func TestAnAnswerWithoutEndNeedsRoom(t *testing.T) {
	pour := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/head" {
			for i := range 5000 {
				w.Header().Set("X-"+string(rune('a'+i%26))+string(rune('a'+i/26%26))+string(rune('a'+i/676)), "")
			}
			return
		}
		for part := []byte(strings.Repeat("x", 64<<10)); r.Context().Err() == nil; {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	}
	plain, secured := httptest.NewServer(http.HandlerFunc(pour)), httptest.NewTLSServer(http.HandlerFunc(pour))
	trusted := &tls.Config{RootCAs: secured.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs}
	for _, server := range []*httptest.Server{plain, secured} {
		t.Cleanup(server.Close)
		for _, path := range []string{"/head", "/body"} {
			b := newAnswerBudget(256 << 10)
			client := NewClient(Options{Answers: b, TLS: trusted, FreshConnections: true})
			if n, err := get(t.Context(), client, server.URL+path); !errors.Is(err, answerbudget.ErrNoRoom) || n > 256<<10 {
				t.Errorf("%s%s: %d bytes, %v, want no room", server.URL, path, n, err)
			}
			eventuallyNothing(t, b)
		}
	}
}

// Guards against an answer that stops short and keeps the room of others.
func TestAnAnswerThatStopsGivesWay(t *testing.T) {
	url := testkit.Serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 70<<10))
		if r.URL.Path == "/stops" {
			_ = http.NewResponseController(w).Flush() // the client is there
			<-r.Context().Done()
		}
	}))
	b := newAnswerBudget(300 << 10)
	client := NewClient(Options{Answers: b})
	stopped := make(chan error, 1)
	go func() {
		_, err := get(t.Context(), client, url+"/stops")
		stopped <- err
	}()
	for b.State().Bytes < 200<<10 {
		<-time.After(time.Millisecond)
	}
	if n, err := get(t.Context(), client, url+"/whole"); n != 70<<10 || err != nil {
		t.Errorf("the answer that was to get the room: %d bytes, %v", n, err)
	}
	if err := <-stopped; !errors.Is(err, answerbudget.ErrStalled) {
		t.Errorf("the answer that stopped: %v", err)
	}
	eventuallyNothing(t, b)
}

// Guards against a stream of which all messages count together, and against long messages that don't count: however the
// bytes come, what is counted after each read is what came of the message that has not ended.
func TestTheMessagesOfAStreamAreCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lengths := rapid.SliceOfN(rapid.IntRange(0, 3000), 1, 20).Draw(t, "lengths")
		var stream []byte
		var ends []int
		for _, length := range lengths {
			stream = append(stream, 0)
			stream = binary.BigEndian.AppendUint32(stream, uint32(length))
			stream = append(stream, make([]byte, length)...)
			ends = append(ends, len(stream))
		}
		b := &answerBody{messages: &messageCounter{}, exchange: &exchange{}}
		for read := 0; read < len(stream); {
			n := rapid.IntRange(1, len(stream)-read).Draw(t, "read")
			b.count(stream[read : read+n])
			read += n
			begun := 0
			for _, end := range ends {
				if end <= read {
					begun = end
				}
			}
			if b.came != int64(read-begun) {
				t.Fatalf("after %d bytes %d are counted, want %d", read, b.came, read-begun)
			}
		}
	})
}
