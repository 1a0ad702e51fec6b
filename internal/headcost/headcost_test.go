package headcost

import (
	"strings"
	"testing"
)

// Guards against heads whose many lines cost far more than their bytes, and against bodies that count as heads.
func TestTheCostOfHeads(t *testing.T) {
	const line = "a: b\r\n"
	ordinary := "GET / HTTP/1.1\r\n" + strings.Repeat(line, 20)
	many := strings.Repeat(line, 1000)
	for name, c := range map[string]struct {
		text string
		most int64
		want bool
	}{
		"ordinary":                  {text: ordinary + "\r\n"},
		"ordinary, with a body":     {text: ordinary + "\r\n" + strings.Repeat("\n", 50_000)},
		"ordinary, bare line feeds": {text: strings.ReplaceAll(ordinary+"\r\n", "\r", "") + many},
		"many lines":                {text: ordinary + many, want: true},
		"a long line":               {text: ordinary + strings.Repeat("x", 20<<10), want: true},
	} {
		t.Run(name, func(t *testing.T) {
			var whole, parts Meter
			cost := whole.Add([]byte(c.text))
			var sum int64
			for _, b := range []byte(c.text) {
				sum += parts.Add([]byte{b})
			}
			if sum != cost {
				t.Errorf("read by bytes it costs %d, at once %d", sum, cost)
			}
			if (cost > 0) != c.want {
				t.Errorf("costs %d beside its connection, want any: %v", cost, c.want)
			}
		})
	}
}
