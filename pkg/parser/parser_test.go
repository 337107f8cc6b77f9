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

var update = flag.Bool("update", false, "write the reported problems into the fixtures")

const fixtures = "_fixtures/documents.txtar"

// today is the time at which the fixtures are parsed.
var today = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// TestDocuments checks that each document of the fixtures yields exactly the problems listed
// with it, so that a rule can't be lost, moved to another position or reported twice.
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
			is.Equal(got, string(want.Data)) // the reported problems
		})
	}
	if *update {
		if err := os.WriteFile(fixtures, txtar.Format(archive), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// TestNormalForm guards against an encoder that loses or changes a field: parsing the
// normal form of a document and encoding it again must yield the same text.
func TestNormalForm(t *testing.T) {
	is := is.New(t)
	archive, err := txtar.ParseFile(fixtures)
	is.NoErr(err)
	doc, err := parser.Parse("valid.yaml", archive.Files[0].Data, today)
	is.NoErr(err)
	encoded, err := encoder.Encode(doc)
	is.NoErr(err)
	decoded, err := parser.Parse("normal.yaml", encoded, today)
	is.NoErr(err)
	reencoded, err := encoder.Encode(decoded)
	is.NoErr(err)
	is.Equal(string(encoded), string(reencoded))
}
