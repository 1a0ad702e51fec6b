package gateway

import (
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/retry"
)

// budgets keeps one retry budget for each service.
type budgets struct{ known sync.Map } // ident.Service to *retry.Budget

func (b *budgets) of(service ident.Service) *retry.Budget {
	if known, ok := b.known.Load(service); ok {
		return known.(*retry.Budget)
	}
	added, _ := b.known.LoadOrStore(service, retry.NewBudget(retry.BudgetConfig{}, time.Now()))
	return added.(*retry.Budget)
}
