// Command fleetsim simulates the decisions of entry gateways for modelled engines of
// several kinds, in virtual time. It is a development tool.
package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"

	"github.com/alexflint/go-arg"

	"github.com/goldcrestspool/goldcrestspool/internal/fleetsim"
)

type arguments struct {
	Seeds    int     `arg:"--seeds" default:"2" help:"runs of each cell"`
	Engines  string  `arg:"--engines" help:"only kinds of engines whose name holds this"`
	Load     string  `arg:"--load" help:"only loads whose name holds this"`
	Gateways int     `arg:"--gateways" help:"only fleets of so many gateways"`
	Work     float64 `arg:"--work" default:"8" help:"how many engines the traffic keeps busy"`
	Told     bool    `arg:"--told" help:"policies know everyone's load at once"`
	Fixed    int     `arg:"--fixed" help:"so many on-demand engines stand all the time"`
	Report   string  `arg:"--report" help:"write table and plot into this directory"`
}

// gcPercent is above the default of 100 to save time: a run allocates much and keeps
// little, so that fewer collections cost little memory.
const gcPercent = 400

func main() {
	debug.SetGCPercent(gcPercent)
	var args arguments
	arg.MustParse(&args)
	var cells []fleetsim.Cell
	for _, c := range fleetsim.Cases(args.Work) {
		if strings.Contains(c.Engine.Name, args.Engines) && strings.Contains(c.Load.Name, args.Load) && (args.Gateways == 0 || c.Fleet.Gateways == args.Gateways) {
			c.LoadsKnownAtOnce, c.FixedEngines = args.Told, args.Fixed
			cells = append(cells, fleetsim.Cell{Case: c})
		}
	}
	if len(cells) == 0 {
		fmt.Fprintln(os.Stderr, "no such engines, load or fleet")
		os.Exit(2)
	}
	fleetsim.RunAll(cells, args.Seeds)
	var table bytes.Buffer
	fleetsim.PrintAll(&table, cells)
	fmt.Print(table.String())
	if args.Report == "" {
		return
	}
	if err := writeReport(args.Report, table.Bytes(), cells); err != nil {
		fmt.Fprintln(os.Stderr, "report:", err)
		os.Exit(1)
	}
}

// writeReport writes the table and the plot into a directory.
func writeReport(directory string, table []byte, cells []fleetsim.Cell) error {
	if err := os.WriteFile(filepath.Join(directory, "fleet.txt"), table, 0o644); err != nil {
		return err
	}
	return fleetsim.Draw(cells, directory)
}
