package connectplatform_test

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/answerbudget"
	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform/connectplatform"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
)

// Guards against a process that reads no log any more whose records are together longer than it has room for.
func TestALogIsReadInPartsForWhichThereIsRoom(t *testing.T) {
	const records, recordBytes = 32, 32 << 10
	f := newFakes()
	for i := range records {
		if _, err := f.log.Append(t.Context(), "s", [][]byte{bytes.Repeat([]byte{byte(i)}, recordBytes)}); err != nil {
			t.Fatal(err)
		}
	}
	mux := http.NewServeMux()
	connectplatform.Mount(mux, f.services())
	url := testkit.Serve(t, mux)
	for name, compressed := range map[string]bool{"plain": false, "compressed": true} {
		t.Run(name, func(t *testing.T) {
			answers := answerbudget.New(answerbudget.Config{Now: boottime.Now, Log: hclog.NewNullLogger(), Limits: answerbudget.Limits{Bytes: 16 * recordBytes, Waiting: 1}})
			client := transport.NewClient(transport.Options{Answers: answers})
			t.Cleanup(client.CloseIdleConnections)
			compression := transport.Gzip(answers, "platform")
			if !compressed {
				compression = connect.WithAcceptCompression("gzip", nil, nil)
			}
			log := connectplatform.NewClient(client, url, compression)
			reads := 0
			for read := 0; read < records; reads++ {
				batch, err := log.Read(t.Context(), "s", ident.Offset(read), records, time.Second)
				if err != nil || len(batch.Records) == 0 {
					t.Fatalf("from offset %d: %d records, %v", read, len(batch.Records), err)
				}
				read += len(batch.Records)
			}
			if reads == 1 {
				t.Error("all was read at once, for which there is no room")
			}
			if s := answers.State(); s.Bytes != 0 {
				t.Errorf("after the reads: %+v", s)
			}
		})
	}
}
