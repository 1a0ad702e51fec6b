package crowd

import (
	"context"
	"io"
	"net/http"
	"sync"
)

// Streams is a crowd that sends its bodies in many HTTP/2 streams of a few connections.
type Streams struct {
	cancel context.CancelFunc
	work   sync.WaitGroup
}

// StartStreams opens so many streams on each of some connections to an address, as requests with a header.
// Each sends bodyBytes of its body and stops, without an end.
func StartStreams(address, path string, header http.Header, connections, streams, bodyBytes int) *Streams {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Streams{cancel: cancel}
	for range connections {
		var protocols http.Protocols
		protocols.SetUnencryptedHTTP2(true)
		client := &http.Client{Transport: &http.Transport{Protocols: &protocols}}
		for range streams {
			s.work.Go(func() { send(ctx, client, "http://"+address+path, header, bodyBytes) })
		}
	}
	return s
}

// send sends one request and waits until it is answered or ctx ends.
func send(ctx context.Context, client *http.Client, url string, header http.Header, bodyBytes int) {
	body := &stoppingBody{ctx: ctx, left: bodyBytes}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return // the context has ended
	}
	request.Header = header.Clone()
	response, err := client.Do(request)
	if err != nil {
		return // the process turned the stream away, or the crowd has left
	}
	_, _ = io.Copy(io.Discard, response.Body) // how it ends doesn't matter
	_ = response.Body.Close()                 // nothing more is read
}

// Leave ends all streams and waits for them.
func (s *Streams) Leave() {
	s.cancel()
	s.work.Wait()
}

// stoppingBody is a body that stops after some bytes and doesn't end before its context.
type stoppingBody struct {
	ctx  context.Context
	left int
}

// Read implements io.Reader.
func (b *stoppingBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		<-b.ctx.Done()
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(p), b.left)
	for i := range p[:n] {
		p[i] = 'x'
	}
	b.left -= n
	return n, nil
}

// Close implements io.Closer.
func (*stoppingBody) Close() error { return nil }
