package document

import (
	"os"
	"path/filepath"
	"testing"
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
