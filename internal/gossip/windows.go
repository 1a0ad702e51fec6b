package gossip

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Windows counts requests by window of true time and by client account. Between
// gateways each account is named once, not once a window: that makes a report of
// sixteen accounts a third shorter.
type Windows map[int64]map[ident.ClientAccount]int64

// packedWindows is how Windows travel: for each account one count a window, in the
// order of Numbers.
type packedWindows struct {
	Numbers []int64                         `json:"w"`
	Counts  map[ident.ClientAccount][]int64 `json:"n"`
}

// MarshalJSON implements json.Marshaler.
func (w Windows) MarshalJSON() ([]byte, error) {
	p := packedWindows{Numbers: slices.Sorted(maps.Keys(w)), Counts: make(map[ident.ClientAccount][]int64)}
	for i, number := range p.Numbers {
		for account, count := range w[number] {
			counts := p.Counts[account]
			if counts == nil {
				counts = make([]int64, len(p.Numbers))
				p.Counts[account] = counts
			}
			counts[i] = count
		}
	}
	return json.Marshal(p)
}

// UnmarshalJSON implements json.Unmarshaler.
func (w *Windows) UnmarshalJSON(data []byte) error {
	var p packedWindows
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	*w = make(Windows, len(p.Numbers))
	for i, number := range p.Numbers {
		counts := make(map[ident.ClientAccount]int64)
		for account, each := range p.Counts {
			if len(each) != len(p.Numbers) {
				return errors.Errorf("counts of account %q are of %d windows, not %d", account, len(each), len(p.Numbers))
			}
			if each[i] != 0 {
				counts[account] = each[i]
			}
		}
		(*w)[number] = counts
	}
	return nil
}
