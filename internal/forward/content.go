package forward

import (
	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Outline returns the hash of the call's account, method, host and URI, which is
// everything that identifies its content except the body. It is computed on the first
// call and then cached, without a lock.
func (c *Call) Outline() ident.OutlineHash {
	if c.outline != 0 {
		return c.outline
	}
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{string(c.Account), c.Method, c.Host, c.URI} {
		// The zero byte ends each part, so that the same text split in another way hashes differently.
		_, _ = d.WriteString(part) // a digest never returns an error
		_, _ = d.Write([]byte{0})
	}
	c.outline = ident.OutlineHash(d.Sum64())
	return c.outline
}

// KnownPoison tells which requests may be poison requests or are suspected of it. Its
// methods are cheap, so that the body of any other request need not be hashed.
type KnownPoison interface {
	// KnowsNone reports whether no request at all is known or suspected.
	KnowsNone() bool
	// Knows reports whether a request with this outline is known or suspected.
	Knows(outline ident.OutlineHash) bool
}

// KnownTo reports whether the guard knows or suspects a request with the call's outline.
func (c *Call) KnownTo(guard KnownPoison) bool { return !guard.KnowsNone() && guard.Knows(c.Outline()) }

// Content returns the hash of the call's outline and body; it is never 0. It is computed
// on the first call and then cached, without a lock, because it is needed only for calls
// whose attempts fail and for calls with the same outline as a known or suspected request.
func (c *Call) Content() ident.ContentHash {
	if c.content == 0 {
		c.content = ident.ContentHashOf(c.Outline(), xxhash.Sum64(c.Body))
	}
	return c.content
}
