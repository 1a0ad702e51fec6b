package worker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
)

// DrawnRequest is a request in one of the forms that HTTP/1.1 allows a caller.
type DrawnRequest struct {
	Method string
	// Version is the minor version of HTTP/1 in the request line.
	Version int
	// HeaderLines are the header lines besides framing and ID, each of which ends with CRLF.
	HeaderLines string
	Body        string
	Chunked     bool
	// Sizes are the sizes of the chunks in bytes, and Extensions theirs, both used over and over.
	Sizes      []int
	Extensions []string
	Trailer    string
	// Expect: the caller expects an interim answer before it sends the body; it waits for that
	// if Waits is set.
	Expect, Waits bool
	// BreaksOff: the caller closes its connection after Cut bytes of the body's text, which is less
	// than all of it: with a reset, if Reset is set, or only its own direction, if HalfClose is set.
	BreaksOff, Reset, HalfClose bool
	Cut                         int
}

// DrawRequest draws a request.
func DrawRequest(rng *rand.Rand) DrawnRequest {
	r := DrawnRequest{Method: pick(rng, "POST", "POST", "GET", "HEAD", "PUT", "DELETE", "PATCH"), Version: 1}
	if rng.IntN(6) == 0 {
		r.Version = 0
	}
	for _, line := range []string{
		"x-aPP-field:odd\r\n", "X-App-Twice: 1\r\nX-APP-Twice: 2\r\n", "X-App-Space: \t padded \t \r\n", "Connection: close\r\n", "connection: Keep-Alive, x-hop\r\nX-Hop: mine\r\n",
		"X-Not-Executed: 1\r\n", "x-response-signature: forged\r\n", "TE: trailers\r\n", "Accept: */*\r\n",
	} {
		if rng.IntN(6) == 0 {
			r.HeaderLines += line
		}
	}
	if r.Method == "GET" || r.Method == "HEAD" {
		return r
	}
	r.Body = drawBody(rng)
	r.Sizes, r.Extensions = drawSizes(rng), []string{""}
	if r.Version == 1 {
		r.Chunked = rng.IntN(2) == 0
		r.Expect = rng.IntN(4) == 0 && r.Body != ""
		r.Waits = rng.IntN(2) == 0
	}
	if r.Chunked && rng.IntN(2) == 0 {
		r.Extensions = []string{";a", `;q="a;b"`, "", ";a=1;b=2"}
		r.Trailer = pick(rng, "", "X-Sum: 1\r\n", "X-Request-Id: other\r\n")
	}
	if rng.IntN(6) == 0 && (r.Chunked || r.Body != "") {
		r.BreaksOff = true
		switch rng.IntN(3) {
		case 0:
			r.Reset = true
		case 1:
			r.HalfClose = true
		}
		r.Cut = rng.IntN(len(r.bodyText()))
	}
	return r
}

// MayPipeline reports whether another request may follow on the connection before the answer.
func (r DrawnRequest) MayPipeline() bool {
	return r.Version == 1 && !r.BreaksOff && !strings.Contains(r.HeaderLines, "Connection: close")
}

// Head returns the request line and the header of the request for a path and with an ID.
func (r DrawnRequest) Head(path, id string) string {
	head := fmt.Sprintf("%s %s HTTP/1.%d\r\nhOST: app.example\r\nx-request-id:%s\r\n%s", r.Method, path, r.Version, id, r.HeaderLines)
	switch {
	case r.Chunked:
		head += "Transfer-Encoding: chunked\r\n"
	case r.Body != "" || r.Method != http.MethodGet && r.Method != http.MethodHead:
		head += fmt.Sprintf("content-length: %d\r\n", len(r.Body))
	}
	if r.Expect {
		head += "Expect: 100-Continue\r\n"
	}
	return head + "\r\n"
}

// Text returns what is sent of the body.
func (r DrawnRequest) Text() string {
	text := r.bodyText()
	if r.BreaksOff {
		return text[:r.Cut]
	}
	return text
}

// bodyText returns the body in its framing.
func (r DrawnRequest) bodyText() string {
	if !r.Chunked {
		return r.Body
	}
	var text strings.Builder
	f := Framed{Sizes: r.Sizes}
	for i, body := 0, r.Body; len(body) > 0; i++ {
		n := f.pieceSize(i, len(body))
		fmt.Fprintf(&text, "%x%s\r\n%s\r\n", n, r.Extensions[i%len(r.Extensions)], body[:n])
		body = body[n:]
	}
	return text.String() + "0" + r.Extensions[0] + "\r\n" + r.Trailer + "\r\n"
}
