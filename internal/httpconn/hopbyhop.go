package httpconn

import (
	"net/http"
	"strings"
)

// hopByHopHeaders are the headers that concern one connection only. Content-Length and
// Expect are among them because bodies are sent anew.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// RemoveHopByHop removes the headers that concern one connection only, in place, and
// returns header.
func RemoveHopByHop(header http.Header) http.Header {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	return header
}
