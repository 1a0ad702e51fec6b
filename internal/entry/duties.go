package entry

import "context"

// runDuties starts what one gateway at a time does under a lease.
func (p *Process) runDuties(run func(func(context.Context))) {}
