package poison

import (
	"sync"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// knownFeatures tells cheaply whether a feature is in any crash or conviction. Of contents it holds the
// outlines, so that the body of a request with another outline need not be read. It is safe for
// concurrent use.
type knownFeatures struct {
	mu       sync.RWMutex
	outlines map[ident.OutlineHash]bool
	parts    map[uint64]bool
}

func newKnownFeatures() *knownFeatures {
	return &knownFeatures{outlines: make(map[ident.OutlineHash]bool), parts: make(map[uint64]bool)}
}

func (k *knownFeatures) add(f ident.Feature) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if f.Kind == ident.PartFeature {
		k.parts[f.Value] = true
	} else {
		k.outlines[ident.ContentHash(f.Value).Outline()] = true
	}
}

// replaceBy takes over what another one holds, which must not be used afterwards.
func (k *knownFeatures) replaceBy(o *knownFeatures) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.outlines, k.parts = o.outlines, o.parts
}

func (k *knownFeatures) empty() bool {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return len(k.outlines)+len(k.parts) == 0
}

func (k *knownFeatures) hasOutline(outline ident.OutlineHash) bool {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.outlines[outline]
}

// appendParts appends those of the given parts that are known.
func (k *knownFeatures) appendParts(to, parts []ident.Feature) []ident.Feature {
	k.mu.RLock()
	defer k.mu.RUnlock()
	for _, part := range parts {
		if k.parts[part.Value] {
			to = append(to, part)
		}
	}
	return to
}
