package connectupstream_test

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"google.golang.org/protobuf/proto"

	upstreamv1 "github.com/goldcrestspool/goldcrestspool/api/upstream/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream/connectupstream"
)

// Guards against a part of an answer that is used as the whole: a plain service answers a long call before it has read
// it, without a length, and resets the connection while the call is still written. Cut between two fields, a message
// is valid.
func TestAnAnswerThatIsResetDuringAnUploadIsNotUsed(t *testing.T) {
	const calls = 1000
	first, err := proto.Marshal(&upstreamv1.InvokeResponse{Payload: []byte("the answer")})
	if err != nil {
		t.Fatal(err)
	}
	rest, err := proto.Marshal(&upstreamv1.InvokeResponse{Failed: true})
	if err != nil {
		t.Fatal(err)
	}
	server := testkit.NewEarlyServer(t)
	server.SetAnswer(func(*http.Request) testkit.RawAnswer {
		return testkit.RawAnswer{
			Status: http.StatusOK, HeaderLines: "Content-Type: application/proto\r\n", Framing: testkit.UntilClose,
			Body: string(first) + string(rest), Cut: len(first), Reset: true,
		}
	})
	clients := connectupstream.NewClients(nil, nil)
	t.Cleanup(clients.Close)
	subject := connectupstream.NewPlain(clients, "http://"+server.Address())
	payload := []byte(strings.Repeat("x", 200<<10))
	var whole atomic.Int64
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for range calls / 8 {
				_, err := subject.Invoke(t.Context(), upstream.InvokeRequest{Method: "m", Key: "k", Payload: payload})
				switch {
				case err == nil:
					whole.Add(1)
				case !upstream.MayHaveRun(err):
					t.Errorf("%v says that it did not run", err)
				}
			}
		})
	}
	callers.Wait()
	if n := whole.Load(); n > 0 {
		t.Errorf("%d of %d parts were used as whole answers", n, calls)
	}
}
