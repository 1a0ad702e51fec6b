package gossip

import (
	"context"
	"net/http"
	"time"
)

// MessageServer serves an encoded message of another gateway and returns the encoded answer, which may
// be empty.
type MessageServer func(ctx context.Context, message []byte) ([]byte, error)

// messageHandler serves messages over HTTP.
func (g *Gossip) messageHandler(serve MessageServer) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := readMessage(r.Body)
		if err != nil {
			refuseBrokenOff(w) // the other gateway does without the answer
			return
		}
		answer, err := serve(r.Context(), data)
		if err != nil {
			g.logInvalidMessage(r, err)
			http.Error(w, "not a valid message", http.StatusBadRequest)
			return
		}
		writeMessage(w, answer)
	})
}

// invalidMessageInterval is the shortest time between two log lines on invalid messages.
const invalidMessageInterval = time.Second

// logInvalidMessage logs an invalid message, unless one was logged within invalidMessageInterval.
func (g *Gossip) logInvalidMessage(r *http.Request, err error) {
	g.mu.Lock()
	unlogged, ok := g.invalidMessageLines.Pass(g.cfg.Now(), invalidMessageInterval)
	g.mu.Unlock()
	if ok {
		g.cfg.Log.Warn("ignored an invalid message of another gateway", "path", r.URL.Path, "from", r.RemoteAddr, "error", err, "unlogged", unlogged)
	}
}
