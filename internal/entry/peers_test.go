package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/quota"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

// Guards against reading the clock for each account whenever the other gateways' reports are
// applied: that was most of what an idle gateway did.
func TestApplyingReportsReadsTheClockAFewTimes(t *testing.T) {
	reads := 0
	p := &Process{now: func() time.Time { reads++; return time.Unix(1000, 0) }}
	p.view.Store(&peerView{View: gossip.View{Known: 983, Groups: []gossip.Group{{Name: "all", Source: "c", Gateways: 983}}}})
	var accounts []routetable.Account
	for i := range 333 {
		accounts = append(accounts, routetable.Account{Name: ident.ClientAccount(fmt.Sprint("acct", i)), Rate: 36_000, Burst: 36_000})
	}
	now := p.now()
	limiter := quota.NewLimiter(quota.Tolerance{Window: 8 * time.Second}, p.quotaReports, now)
	for range 8 {
		limiter.ApplyReports(accounts, now)
	}
	if reads > 8 {
		t.Errorf("the clock was read %d times by applying the reports on %d accounts 8 times", reads, len(accounts))
	}
}
