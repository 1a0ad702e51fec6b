package admin

import (
	"cmp"
	"context"
	"slices"

	standinv1 "github.com/goldcrestspool/goldcrestspool/api/standin/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/plain"
)

// Plain serves PlainAdminService for one plain stand-in.
type Plain struct {
	Service *plain.Service
}

// GetEffects returns how often each key was executed, sorted by key. If the
// request names keys, it returns only these.
func (p *Plain) GetEffects(
	_ context.Context, req *standinv1.GetEffectsRequest,
) (*standinv1.GetEffectsResponse, error) {
	response := &standinv1.GetEffectsResponse{}
	for key, count := range p.Service.AllEffects() {
		if len(req.GetKeys()) > 0 && !slices.Contains(req.GetKeys(), key) {
			continue
		}
		response.Effects = append(response.Effects, &standinv1.Effect{Key: key, Count: uint32(count)})
	}
	slices.SortFunc(response.Effects, func(a, b *standinv1.Effect) int {
		return cmp.Compare(a.GetKey(), b.GetKey())
	})
	return response, nil
}
