//go:build !plots

package experiment

import "github.com/goldcrestspool/goldcrestspool/internal/errcode"

// drawAll fails: the plotting library is not among the main module's
// dependencies. `make policy-report` builds with it.
func (t Table) drawAll(string) error {
	return errcode.New(errcode.FailedPrecondition, "built without the tag plots")
}
