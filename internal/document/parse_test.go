package document

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

func TestExamplesHaveNoFindings(t *testing.T) {
	files, err := filepath.Glob("../../examples/*.toml")
	if err != nil || len(files) < 4 {
		t.Fatalf("examples: %v, %v", files, err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if _, found := Parse(file, data); len(found) > 0 {
			t.Error(found.Err())
		}
	}
}

func TestAllFaultsAreFoundTogether(t *testing.T) {
	for _, name := range []string{"faults", "plain_faults"} {
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(filepath.Join("testdata", name+".toml"))
			if err != nil {
				t.Fatal(err)
			}
			var lines strings.Builder
			_, found := Parse(name+".toml", data)
			for _, f := range found {
				lines.WriteString(f.String() + "\n")
			}
			goldie.New(t).Assert(t, name, []byte(lines.String()))
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`schema=1
service="a"
kind="model"
model={name="m",version="1"}
[[classes]]
name="s"
completion="1s"
[placement]
max=1
[[placement.prices]]
failure_domain="h"
class="c"
cents_per_hour=1`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, found := Parse("fuzz.toml", data)
		if len(found) > 0 {
			return
		}
		if d.Service == "" || d.Placement.Max <= 0 || len(d.Classes)+len(d.Methods) == 0 {
			t.Errorf("accepted %+v", d)
		}
	})
}
