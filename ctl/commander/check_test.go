package commander

import (
	"cmp"
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"samphiremux/ctl/differ"
	"samphiremux/pkg/auditor"
	"samphiremux/pkg/fixturereader"
)

// checkedFile is a file of a case: a base text with edits, or a text of its own.
type checkedFile struct {
	Base string      `yaml:"base"`
	Edit [][2]string `yaml:"edit"`
	// Cut is where the text is truncated.
	Cut  string `yaml:"cut"`
	Text string `yaml:"text"`
}

// write writes the file into the current directory.
func (f checkedFile) write(t *testing.T, name string, bases map[string]string) {
	t.Helper()
	text := bases[f.Base] + f.Text
	for _, e := range f.Edit {
		if !strings.Contains(text, e[0]) {
			t.Fatalf("%s does not contain %q", name, e[0])
		}
		text = strings.Replace(text, e[0], e[1], 1)
	}
	if f.Cut != "" {
		text, _, _ = strings.Cut(text, f.Cut)
	}
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestCheck guards against findings that are lost, have a wrong position or appear for a
// correct file, against wrong exit codes, and against API keys in the output.
func TestCheck(t *testing.T) {
	type fixtureCase struct {
		Bases map[string]string `yaml:"bases"`
		Cases []struct {
			Name  string                 `yaml:"name"`
			Run   string                 `yaml:"run"`
			Files map[string]checkedFile `yaml:"files"`
			Exit  int                    `yaml:"exit"`
			Want  string                 `yaml:"want"`
		} `yaml:"cases"`
	}
	table := fixturereader.Read[fixtureCase](t, "_fixtures/check.yaml")
	for _, c := range table.Cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			t.Chdir(t.TempDir())
			for name, f := range c.Files {
				f.write(t, name, table.Bases)
			}
			args := strings.Fields(cmp.Or(c.Run, "check new.json"))
			code, out, errOut := run(args...)
			is.Equal(strings.TrimSuffix(out+errOut, "\n"), c.Want)
			is.Equal(code, c.Exit)
			is.True(!strings.Contains(out+errOut, "k-secret"))
			jsonCode, jsonOut, errOut := run(append(args, "--json")...)
			is.Equal(jsonCode, code)
			is.True(!strings.Contains(jsonOut+errOut, "k-secret"))
			if args[0] == "check" && code != ExitUnreadable {
				compareJSON(t, jsonOut, out, code)
			}
		})
	}
}

// compareJSON checks that the JSON output of a check has the findings and the differences of
// the text.
func compareJSON(t *testing.T, out, text string, code int) {
	t.Helper()
	is := is.New(t)
	var result struct {
		Valid       bool              `json:"valid"`
		Findings    []auditor.Finding `json:"findings"`
		Differences []differ.Change   `json:"differences"`
	}
	is.NoErr(json.Unmarshal([]byte(out), &result))
	is.Equal(result.Valid, code == ExitOK)
	is.Equal(result.Valid, len(result.Findings) == 0)
	for _, f := range result.Findings {
		is.True(strings.Contains(text, f.String()))
	}
	for _, c := range result.Differences {
		is.True(strings.Contains(text, c.String()))
	}
}
