package forward

import (
	"slices"
	"strconv"

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

// KnownPoison tells which features make requests poison requests, or are suspected of it. Its
// methods are cheap, so that the body of any other request need not be hashed.
type KnownPoison interface {
	// KnowsNone reports whether no feature at all is known or suspected.
	KnowsNone() bool
	// Knows reports whether a content with this outline is known or suspected.
	Knows(outline ident.OutlineHash) bool
	// AppendKnownParts appends those of the given prompt parts that are known or suspected.
	AppendKnownParts(to, parts []ident.Feature) []ident.Feature
}

// FeaturesKnownTo returns those of the call's features that the guard knows or suspects.
func (c *Call) FeaturesKnownTo(guard KnownPoison) []ident.Feature {
	if guard.KnowsNone() {
		return nil
	}
	var known []ident.Feature
	if guard.Knows(c.Outline()) {
		known = append(known, c.Content().Feature())
	}
	return guard.AppendKnownParts(known, c.partFeatures())
}

// SharedParts returns the prompt parts that other requests may have too: all but the last, which belongs
// to the call alone.
func (c *Call) SharedParts() []PromptPart { return c.Parts[:max(0, len(c.Parts)-1)] }

// maxLoggedParts bounds the prompt parts in a log line.
const maxLoggedParts = 16

// PartsForLog returns the IDs of the shared prompt parts, maxLoggedParts at most, as a barred feature names
// them.
func (c *Call) PartsForLog() []string {
	shared := c.SharedParts()
	out := make([]string, min(len(shared), maxLoggedParts))
	for i := range out {
		out[i] = strconv.FormatUint(shared[i].ID, 16)
	}
	return out
}

// Features returns all features that the call may have in common with others.
func (c *Call) Features() []ident.Feature {
	return append([]ident.Feature{c.Content().Feature()}, c.partFeatures()...)
}

// partFeatures returns the shared prompt parts, each once. It is computed on the first call and then
// cached, without a lock.
func (c *Call) partFeatures() []ident.Feature {
	shared := c.SharedParts()
	if c.parts != nil || len(shared) == 0 {
		return c.parts
	}
	c.parts = make([]ident.Feature, 0, len(shared))
	for _, part := range shared {
		c.parts = append(c.parts, ident.Feature{Kind: ident.PartFeature, Value: part.ID})
	}
	slices.SortFunc(c.parts, ident.Feature.Compare)
	c.parts = slices.Compact(c.parts)
	return c.parts
}

// Content returns the hash of the call's outline and body; it is never 0. It is computed
// on the first call and then cached, without a lock, because it is needed only for calls
// whose attempts fail and for calls with the same outline as a known or suspected request.
func (c *Call) Content() ident.ContentHash {
	if c.content == 0 {
		c.content = ident.ContentHashOf(c.Outline(), xxhash.Sum64(c.Body))
	}
	return c.content
}
