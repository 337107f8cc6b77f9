package parser_test

import (
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"samphiremux/pkg/encoder"
	"samphiremux/pkg/parser"
)

var update = flag.Bool("update", false, "write what the parser says into the fixtures")

const fixtures = "_fixtures/documents.txtar"

var today = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func TestDocuments(t *testing.T) {
	archive, err := txtar.ParseFile(fixtures)
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(archive.Files); i += 2 {
		document, want := archive.Files[i], &archive.Files[i+1]
		t.Run(strings.TrimSuffix(document.Name, ".yaml"), func(t *testing.T) {
			is := is.New(t)
			got := ""
			if _, err := parser.Parse(document.Name, document.Data, today); err != nil {
				got = err.Error() + "\n"
			}
			if *update {
				want.Data = []byte(got)
			}
			is.Equal(got, string(want.Data)) // the problems found
		})
	}
	if *update {
		if err := os.WriteFile(fixtures, txtar.Format(archive), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// TestNormalForm checks that the normal form of a document reads as the same
// document.
func TestNormalForm(t *testing.T) {
	is := is.New(t)
	archive, err := txtar.ParseFile(fixtures)
	is.NoErr(err)
	doc, err := parser.Parse("valid.yaml", archive.Files[0].Data, today)
	is.NoErr(err)
	first, err := encoder.Encode(doc)
	is.NoErr(err)
	again, err := parser.Parse("normal.yaml", first, today)
	is.NoErr(err)
	second, err := encoder.Encode(again)
	is.NoErr(err)
	is.Equal(string(first), string(second))
}
