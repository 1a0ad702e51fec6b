package gossip

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

// serveExchange answers a request of another gateway.
func (g *Gossip) serveExchange(w http.ResponseWriter, r *http.Request) {
	data, err := readMessage(r.Body)
	if err != nil {
		refuseBrokenOff(w) // the other gateway tries again
		return
	}
	// The port changes with each connection, so that the sender is identified by its host.
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	body, done, err := g.handleRequest(host, data)
	if err != nil {
		http.Error(w, "not a valid message", http.StatusBadRequest)
		return
	}
	defer done()
	writeMessage(w, body)
}

// readMessage reads an encoded message, and one byte more than maxMessageBytes at most.
func readMessage(body io.Reader) ([]byte, error) {
	return io.ReadAll(io.LimitReader(body, maxMessageBytes+1))
}

// refuseBrokenOff answers a request of which only a part was received. An empty answer with status 200
// would be a valid message.
func refuseBrokenOff(w http.ResponseWriter) {
	http.Error(w, "the request broke off", http.StatusBadRequest)
}

// writeMessage writes an encoded message as an answer.
func writeMessage(w http.ResponseWriter, message []byte) {
	w.Header().Set("Keep-Alive", KeepAliveHeader)
	w.Header().Set("Content-Type", "application/x-protobuf")
	// A write error is ignored: the other gateway tries again.
	_, _ = w.Write(message)
}

// handleRequest decodes a request and returns the encoded answer. The caller calls done once
// the answer is sent.
func (g *Gossip) handleRequest(from string, data []byte) (answer []byte, done func(), err error) {
	request, err := g.decodeFrom(from, data)
	if err != nil {
		return nil, nil, err
	}
	reply, done := g.answerRequest(request)
	return g.encode(reply), done, nil
}

// reportFor returns this gateway's report for an answer. In answers to a collector or from one
// it is the brief report: the sums contain the rest.
func (g *Gossip) reportFor(request *message, now time.Time) Report {
	if request.Collect || request.DomainSum != nil || request.WantsCounts {
		return g.cfg.Knowledge.BriefReport(now)
	}
	return g.cfg.Knowledge.Report(now)
}

// answerRequest applies another gateway's report and returns the answer with what that gateway
// lacks. The caller calls done once the answer is sent.
func (g *Gossip) answerRequest(request *message) (reply *message, done func()) {
	now, wall := g.cfg.Now(), time.Now()
	g.cfg.Table.RecordReport(request.From, now, wall)
	g.cfg.Knowledge.ApplyReport(&request.From, time.Time{})
	reply = &message{From: g.reportFor(request, now)}
	done = g.addMissing(request, reply)
	if request.KnownDigest != 0 && request.KnownDigest != g.cfg.Table.Digest(now) {
		reply.Contacts = g.cfg.Table.Contacts(now)
	}
	g.addCollectorAnswer(request, reply, now, wall)
	if request.From.UpstreamsKnown.After(reply.From.UpstreamsKnown) && g.tryBeginExchange(request.From.Address) {
		// The asker has newer upstream entries. Entries are sent only in answers, so this
		// gateway asks in turn.
		go g.exchange(context.Background(), request.From.Address, g.encodeReport(false))
	}
	return reply, done
}
