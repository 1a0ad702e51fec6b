package transport_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/platform/connectplatform"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/logstore"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
)

// Guards against a broken-off answer of the platform's log that is used as if it were whole. An empty
// message is valid: without the field that says where the log ends, its reader takes itself to be up to
// date, and may hold a lease that another one holds too.
func TestABrokenOffAnswerOfTheLogIsNotUsed(t *testing.T) {
	log := logstore.New(logstore.Options{})
	for range 3 {
		if _, err := log.Append(t.Context(), "s", [][]byte{[]byte("record")}); err != nil {
			t.Fatal(err)
		}
	}
	mux := http.NewServeMux()
	connectplatform.Mount(mux, connectplatform.Services{Log: log})
	for name, call := range map[string]func(context.Context, platform.Log) error{
		"read": func(ctx context.Context, log platform.Log) error {
			batch, err := log.Read(ctx, "s", 0, 10, 0)
			if err == nil && (batch.Head < 3 || len(batch.Records) < 3) {
				t.Errorf("head %d, %d records", batch.Head, len(batch.Records))
			}
			return err
		},
		"append": func(ctx context.Context, log platform.Log) error {
			offset, err := log.Append(ctx, "s", [][]byte{[]byte("record")})
			if err == nil && offset < 3 {
				t.Errorf("appended at offset %d", offset)
			}
			if err != nil && !errors.Is(err, platform.ErrAnswerLost) {
				t.Errorf("error %v, want ErrAnswerLost", err)
			}
			return err
		},
	} {
		for _, framing := range testkit.Framings() {
			t.Run(name+" by "+string(framing), func(t *testing.T) {
				server := testkit.NewRawServer(t)
				client := connectplatform.NewClient(transport.NewClient(transport.Options{FreshConnections: true, RequireFrame: true}), "http://"+server.Address())
				var whole *httptest.ResponseRecorder
				run := func(cut int, reset bool) error {
					server.SetAnswer(func(r *http.Request) testkit.RawAnswer {
						if whole == nil {
							whole = httptest.NewRecorder()
							mux.ServeHTTP(whole, r)
						}
						var lines strings.Builder
						if err := whole.Header().Write(&lines); err != nil {
							t.Error(err)
						}
						return testkit.RawAnswer{Status: whole.Code, HeaderLines: lines.String(), Framing: framing, Body: whole.Body.String(), Cut: cut, Reset: reset}
					})
					return call(t.Context(), client)
				}
				unframed := framing == testkit.UntilClose
				if err := run(-1, false); (err != nil) != unframed || unframed && !strings.Contains(err.Error(), transport.ErrNoFrame.Error()) {
					t.Errorf("whole: error %v", err)
				}
				for cut := range len(framing.Frame(whole.Body.String())) {
					for _, reset := range []bool{false, true} {
						if err := run(cut, reset); err == nil {
							t.Errorf("cut after %d bytes, reset %v: no error", cut, reset)
						}
					}
				}
			})
		}
	}
}
