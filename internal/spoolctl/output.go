package spoolctl

import (
	"encoding/json"
	"fmt"
)

// print shows a result: as JSON, or as text for a terminal.
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
	// The results are plain structs; only a closed output fails, and then
	// nobody reads on.
	_ = encoder.Encode(result)
}
