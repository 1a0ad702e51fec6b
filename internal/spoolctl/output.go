package spoolctl

import (
	"encoding/json"
	"fmt"
)

// print prints a result as JSON if that is asked for, else its text.
func (c *command) print(result any, text string) {
	if c.json {
		c.printJSON(result)
		return
	}
	fmt.Fprintln(c.out, text)
}

func (c *command) printJSON(result any) {
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	// The results are plain structs, so that only writing to a closed output
	// fails, which nobody reads.
	_ = encoder.Encode(result)
}
