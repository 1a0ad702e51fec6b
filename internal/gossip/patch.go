package gossip

import (
	"slices"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// A change of a large configuration is mostly a small one. What goes wrong without patches:
// each gateway reads each change whole from the store, so that the store's calls and bytes
// grow with the gateways, for each change of which there are hundreds a day.

const (
	// maxRecentConfigs is how many configurations a gateway keeps to make patches from: some
	// gateways are a few changes behind.
	maxRecentConfigs = 4
	// patchDictionaryID numbers the earlier configuration in a patch.
	patchDictionaryID = 1
	// patchWindowBytes is how far back in it a patch may refer, bytes.
	patchWindowBytes = 1 << 20
)

// makePatch returns what makes next of base.
func makePatch(base, next []byte) ([]byte, error) {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderDictRaw(patchDictionaryID, base), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(patchWindowBytes))
	if err != nil {
		return nil, errors.Wrap(err, "make a patch")
	}
	defer e.Close()
	return e.EncodeAll(next, nil), nil
}

// applyPatch is the inverse of makePatch. A patch of another base is an error.
func applyPatch(base, patch []byte) ([]byte, error) {
	d, err := zstd.NewReader(nil, zstd.WithDecoderDictRaw(patchDictionaryID, base), zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxConfigBytes))
	if err != nil {
		return nil, errors.Wrap(err, "apply a patch")
	}
	defer d.Close()
	next, err := d.DecodeAll(patch, nil)
	return next, errors.Wrap(err, "apply a patch")
}

// configHistory is the configurations that a gateway had lately, and the patches from them
// to the newest.
type configHistory struct {
	// records are in the order in which they came, the newest last.
	records []ConfigRecord
	patches map[ident.Revision]*encodedConfig
}

// add keeps a configuration that came into force.
func (h *configHistory) add(record *ConfigRecord) {
	if record == nil || h.newest() != nil && h.newest().Revision >= record.Revision {
		return
	}
	h.records = appendNewest(h.records, *record, maxRecentConfigs)
	h.patches = make(map[ident.Revision]*encodedConfig)
}

// appendNewest adds an element at the end of a list and keeps the last most of it.
func appendNewest[T any](list []T, next T, most int) []T {
	list = append(list, next)
	return slices.Delete(list, 0, max(0, len(list)-most))
}

func (h *configHistory) newest() *ConfigRecord {
	if len(h.records) == 0 {
		return nil
	}
	return &h.records[len(h.records)-1]
}

// patchFrom returns the patch from an earlier configuration to the newest; nil where that one is
// not known.
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
		h.patches[from] = &encodedConfig{Revision: next.Revision, Offset: next.Offset, Base: from, Patch: patch}
		return h.patches[from], nil
	}
	return nil, nil
}

// recordConfig keeps the configuration in force, for those that lack it.
func (g *Gossip) recordConfig() {
	record := g.cfg.Knowledge.Config(0)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.configs.add(record)
}

// patchFor returns a patch for a gateway that has an earlier configuration; nil where there
// is none that is small.
func (g *Gossip) patchFor(revision ident.Revision) *encodedConfig {
	g.recordConfig()
	g.mu.Lock()
	defer g.mu.Unlock()
	p, err := g.configs.patchFrom(revision)
	if err != nil {
		g.cfg.Log.Error("no patch of the configuration", "from", revision, "error", err)
	}
	if p == nil || len(p.Patch) > smallConfigBytes {
		return nil
	}
	return p
}

// unpackConfig returns a configuration that another gateway handed on; nil where it is a
// patch of one that this gateway does not have.
func (g *Gossip) unpackConfig(p *encodedConfig) (*ConfigRecord, error) {
	if len(p.Patch) == 0 {
		return p.decompress()
	}
	base := g.cfg.Knowledge.Config(0)
	if base == nil || base.Revision != p.Base {
		return nil, nil
	}
	data, err := applyPatch(base.Data, p.Patch)
	if err != nil {
		return nil, err
	}
	return &ConfigRecord{Revision: p.Revision, Offset: p.Offset, Data: data}, nil
}
