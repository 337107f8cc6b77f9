package commander

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

type completionCommand struct {
	Shell string `arg:"positional,required" help:"bash, zsh or fish"`
}

// ErrNoSuchShell says that there is no completion for a shell.
type ErrNoSuchShell struct{ Shell string }

func (e ErrNoSuchShell) Error() string {
	return fmt.Sprintf("no completion for shell %q: bash, zsh or fish", e.Shell)
}

// words lists the flags and commands of a struct of arguments, and those of its
// commands.
func words(t reflect.Type) (flags, commands []string) {
	for field := range t.Fields() {
		for part := range strings.SplitSeq(field.Tag.Get("arg"), ",") {
			if strings.HasPrefix(part, "--") {
				flags = append(flags, part)
			}
			if name, ok := strings.CutPrefix(part, "subcommand:"); ok {
				more, _ := words(field.Type.Elem())
				flags = append(flags, more...)
				commands = append(commands, name)
			}
		}
	}
	return flags, commands
}

// completion prints a script that completes commands and flags.
func (s *session) completion() error {
	flags, commands := words(reflect.TypeFor[arguments]())
	flags = append(flags, "--help", "--version")
	slices.Sort(flags)
	slices.Sort(commands)
	all := strings.Join(append(commands, slices.Compact(flags)...), " ")
	scripts := map[string]string{
		"bash": "complete -o default -W '" + all + "' samphirectl",
		"zsh":  "#compdef samphirectl\ncompadd -- " + all + "\n_files",
		"fish": "complete -c samphirectl -a '" + all + "'",
	}
	script, ok := scripts[s.Completion.Shell]
	if !ok {
		return ErrNoSuchShell{Shell: s.Completion.Shell}
	}
	_, err := fmt.Fprintln(s.out, script)
	return err
}
