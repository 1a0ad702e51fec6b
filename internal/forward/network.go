package forward

import (
	"context"

	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// DirectNetwork is the Network of a gateway that knows no others: its own connections alone.
type DirectNetwork struct{ *httpconn.Pool }

// Send implements Network.
func (n DirectNetwork) Send(ctx context.Context, target httpconn.Target, e Exchange) (*httpconn.Answer, *httpconn.Failure) {
	return n.Pool.Send(ctx, target, e.Request)
}

// Refuses implements Network.
func (n DirectNetwork) Refuses(ctx context.Context, target httpconn.Target, inDoubt bool) bool {
	return n.Pool.Refuses(ctx, target, inDoubt)
}

// Lost implements Network.
func (DirectNetwork) Lost(ident.Instance) bool { return false }
