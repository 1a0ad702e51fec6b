package gossip

import (
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

// limitBytes bounds what limits add to a gateway's report and the answer to it together, at
// 690 upstreams of which 50 have one.
const limitBytes = 200

// Guards against messages that grow by kilobytes with the limits that upstreams name.
func TestLimitsCostFewBytes(t *testing.T) {
	bytes := func(m *message) int {
		data, err := m.encode()
		if err != nil {
			t.Fatal(err)
		}
		return len(data)
	}
	with := func(limits, uses int) int {
		report := Report{Contact: Contact{Node: "gw", Address: "gw:1"}}
		sum := &Sum{Source: "gw/1"}
		plain := bytes(&message{From: report}) + bytes(&message{From: report, Others: sum})
		var said []upstreamlimit.Said
		for i := range min(limits, 4) {
			said = append(said, upstreamlimit.Said{Upstream: uint32(KeyOf("u")) + uint32(i), Limited: true, Rate: 0.7, Age: time.Second})
		}
		report.Limits = said
		own, others := make(upstreamlimit.Uses), make(upstreamlimit.Uses)
		for i := range limits {
			key := uint32(i) * 85_899_345
			others[key] = upstreamlimit.Use{Asked: 14, Sent: 2}
			if i < uses {
				own[key] = upstreamlimit.Use{Asked: 0.5, Sent: 0.25}
			}
		}
		report.LimitUses = own
		asked := bytes(&message{From: report})
		report.LimitUses = nil
		sum.LimitUses = others
		return asked + bytes(&message{From: report, Others: sum}) - plain
	}
	if got := with(0, 0); got != 0 {
		t.Errorf("%d bytes without a limit", got)
	}
	if got := with(50, 8); got > limitBytes {
		t.Errorf("%d bytes for 50 limits, at most %d", got, limitBytes)
	}
}
