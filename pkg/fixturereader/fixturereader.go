// Package fixturereader reads the tables of tests from YAML files.
package fixturereader

import (
	"os"
	"testing"

	"github.com/goccy/go-yaml"
)

// Read returns the content of a file. It fails t if the file has a field that T lacks.
func Read[T any](t testing.TB, file string) (content T) {
	t.Helper()
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if err := yaml.NewDecoder(f, yaml.DisallowUnknownField()).Decode(&content); err != nil {
		t.Fatal(err)
	}
	return content
}
