package gossip

import (
	"slices"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Most changes of a large configuration are small, and there are hundreds a day. Without
// patches each gateway would read the whole configuration from the store after each change, so
// that the store's calls and bytes would grow with the number of gateways.

const (
	// maxRecentConfigs is how many configurations a gateway keeps to make patches from: some
	// gateways lack the last few changes.
	maxRecentConfigs = 4
	// patchDictionaryID is the zstd dictionary ID under which a patch refers to the earlier
	// configuration.
	patchDictionaryID = 1
	// patchWindowBytes is how far back in that configuration a patch may refer.
	patchWindowBytes = 1 << 20
)

// makePatch returns a patch that turns base into next.
func makePatch(base, next []byte) ([]byte, error) {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderDictRaw(patchDictionaryID, base), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(patchWindowBytes))
	if err != nil {
		return nil, errors.Wrap(err, "make a patch of the configuration")
	}
	defer e.Close()
	return e.EncodeAll(next, nil), nil
}

// applyPatch is the inverse of makePatch. It returns an error if the patch was made from
// another base.
func applyPatch(base, patch []byte) ([]byte, error) {
	d, err := zstd.NewReader(nil, zstd.WithDecoderDictRaw(patchDictionaryID, base), zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxConfigBytes))
	if err != nil {
		return nil, errors.Wrap(err, "apply a patch of the configuration")
	}
	defer d.Close()
	next, err := d.DecodeAll(patch, nil)
	return next, errors.Wrap(err, "apply a patch of the configuration")
}

// configHistory holds the configurations that a gateway had recently, and the patches from
// them to the newest.
type configHistory struct {
	// records are sorted by revision, the newest last.
	records []ConfigRecord
	patches map[ident.Revision]*encodedConfig
}

// add adds a configuration if it is newer than all recorded ones.
func (h *configHistory) add(record *ConfigRecord) {
	if record == nil || h.newest() != nil && h.newest().Revision >= record.Revision {
		return
	}
	h.records = appendNewest(h.records, *record, maxRecentConfigs)
	h.patches = make(map[ident.Revision]*encodedConfig)
}

// appendNewest appends an element to a list and keeps at most the last limit elements.
func appendNewest[T any](list []T, next T, limit int) []T {
	list = append(list, next)
	return slices.Delete(list, 0, max(0, len(list)-limit))
}

func (h *configHistory) newest() *ConfigRecord {
	if len(h.records) == 0 {
		return nil
	}
	return &h.records[len(h.records)-1]
}

// patchFrom returns the patch from an earlier configuration to the newest; nil if the earlier
// one is not recorded.
func (h *configHistory) patchFrom(from ident.Revision) (*encodedConfig, error) {
	if p := h.patches[from]; p != nil {
		return p, nil
	}
	next := h.newest()
	for i := range h.records {
		base := &h.records[i]
		if base.Revision != from || base.Revision == next.Revision {
			continue
		}
		patch, err := makePatch(base.Data, next.Data)
		if err != nil {
			return nil, err
		}
		h.patches[from] = &encodedConfig{Revision: next.Revision, At: next.At, Base: from, Patch: patch}
		return h.patches[from], nil
	}
	return nil, nil
}

// recordConfig records the configuration in force, to make patches from it and to it.
func (g *Gossip) recordConfig() {
	record := g.cfg.Knowledge.ConfigSince(0)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.configs.add(record)
}

// patchFor returns a patch for a gateway that has an earlier configuration; nil if there is no
// patch of at most smallConfigBytes.
func (g *Gossip) patchFor(revision ident.Revision) *encodedConfig {
	g.recordConfig()
	g.mu.Lock()
	defer g.mu.Unlock()
	p, err := g.configs.patchFrom(revision)
	if err != nil {
		g.cfg.Log.Error("cannot make a patch of the configuration", "from", revision, "error", err)
	}
	if p == nil || len(p.Patch) > smallConfigBytes {
		return nil
	}
	return p
}

// decodeConfig decodes a configuration that another gateway sent. It returns nil for a patch of
// a configuration that this gateway does not have.
func (g *Gossip) decodeConfig(c *encodedConfig) (*ConfigRecord, error) {
	if len(c.Patch) == 0 {
		return c.decompress()
	}
	base := g.cfg.Knowledge.ConfigSince(0)
	if base == nil || base.Revision != c.Base {
		return nil, nil
	}
	data, err := applyPatch(base.Data, c.Patch)
	if err != nil {
		return nil, err
	}
	return &ConfigRecord{Revision: c.Revision, At: c.At, Data: data}, nil
}
