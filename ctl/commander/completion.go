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

// words lists the flags and commands of a struct of arguments.
func words(t reflect.Type) (flags, commands []string) {
	for field := range t.Fields() {
		for part := range strings.SplitSeq(field.Tag.Get("arg"), ",") {
			if name, ok := strings.CutPrefix(part, "subcommand:"); ok {
				commands = append(commands, name)
			}
			if strings.HasPrefix(part, "--") {
				flags = append(flags, part)
			}
		}
	}
	slices.Sort(flags)
	slices.Sort(commands)
	return flags, commands
}

// completion prints a script that completes commands and flags.
func (s *session) completion() error {
	flags, commands := words(reflect.TypeFor[arguments]())
	for field := range reflect.TypeFor[arguments]().Fields() {
		if field.Type.Kind() == reflect.Pointer {
			more, _ := words(field.Type.Elem())
			flags = append(flags, more...)
		}
	}
	flags = append(flags, "--help", "--version")
	slices.Sort(flags)
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
