// Command experiment compares routing policies in a simulation with stand-ins of the
// engines, in virtual time. It is a development tool.
package main

import (
	"fmt"
	"os"
	"runtime/debug"
	"slices"

	"github.com/alexflint/go-arg"

	"github.com/goldcrestspool/goldcrestspool/internal/experiment"
)

type arguments struct {
	Seeds    int    `arg:"--seeds" default:"5" help:"runs of each cell"`
	Workload string `arg:"--workload" help:"only this workload"`
	Case     string `arg:"--case" help:"only this case"`
	Policy   string `arg:"--policy" help:"only this policy"`
	Report   string `arg:"--report" help:"write table and plots into this directory"`
}

// gcPercent is above the default of 100 to save time: a run allocates much and keeps
// little, so that fewer collections cost little memory.
const gcPercent = 400

func main() {
	debug.SetGCPercent(gcPercent)
	var args arguments
	arg.MustParse(&args)
	workloads := []*experiment.Workload{experiment.Domaenenhaus(), experiment.Harfang()}
	workloads = filterByName(workloads, args.Workload, func(w *experiment.Workload) string { return w.Name })
	cases := filterByName(experiment.Cases(), args.Case, func(c experiment.Case) string { return c.Name })
	policies := experiment.Contenders()
	if args.Policy != "" {
		// This policy runs only if it is named. It shows what happens without
		// admission control.
		policies = append(policies, experiment.WithoutAdmission())
	}
	policies = filterByName(policies, args.Policy, func(p experiment.Contender) string { return p.Name })
	if len(workloads)*len(cases)*len(policies) == 0 {
		fmt.Fprintln(os.Stderr, "no such workload, case or policy")
		os.Exit(2)
	}
	table := experiment.RunAll(workloads, cases, policies, args.Seeds)
	fmt.Println("Times in ms, costs in cents per thousand requests at target, tokens in thousands per thousand requests.")
	table.Print(os.Stdout)
	fmt.Println()
	experiment.PrintGoals(os.Stdout, table.Goals())
	if args.Report == "" {
		return
	}
	if err := table.WriteReport(args.Report); err != nil {
		fmt.Fprintln(os.Stderr, "report:", err)
		os.Exit(1)
	}
}

// filterByName returns the entries whose name, as nameOf returns it, is name. An empty
// name returns all.
func filterByName[T any](list []T, name string, nameOf func(T) string) []T {
	if name == "" {
		return list
	}
	return slices.DeleteFunc(list, func(x T) bool { return nameOf(x) != name })
}
